package pgwire

// Types of the messages that a client sends, named after those in PostgreSQL's protocol.h.
const (
	MsgQuery        = 'Q'
	MsgTerminate    = 'X'
	MsgSync         = 'S'
	MsgParse        = 'P'
	MsgBind         = 'B'
	MsgDescribe     = 'D'
	MsgExecute      = 'E'
	MsgClose        = 'C'
	MsgFlush        = 'H'
	MsgFunctionCall = 'F'
	MsgCopyData     = 'd' // this and the next two have no meaning outside a copy
	MsgCopyDone     = 'c'
	MsgCopyFail     = 'f'
)

// Types of the messages that a host sends, named after those in PostgreSQL's protocol.h.
const (
	MsgAuthentication       = 'R'
	MsgNegotiateVersion     = 'v'
	MsgParameterStatus      = 'S'
	MsgBackendKeyData       = 'K'
	MsgReadyForQuery        = 'Z'
	MsgRowDescription       = 'T'
	MsgDataRow              = 'D'
	MsgCommandComplete      = 'C'
	MsgEmptyQueryResponse   = 'I'
	MsgErrorResponse        = 'E'
	MsgNoticeResponse       = 'N'
	MsgNotificationResponse = 'A'
)
