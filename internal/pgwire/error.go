package pgwire

// SQLSTATE codes. Source: PostgreSQL documentation, "PostgreSQL Error Codes".
const (
	CodeTooManyConnections = "53300"
	CodeCannotConnectNow   = "57P03"
	CodeProtocolViolation  = "08P01"
	CodeNotSupported       = "0A000"
	CodeSyntaxError        = "42601"
	CodeTooLarge           = "54000"
	CodeSystemError        = "58000"
	CodeReadOnly           = "25006"
	CodeSnapshotTooOld     = "72000"
	CodeQueryCanceled      = "57014"
)

const sqlStateSize = 5

// Types of the fields of an ErrorResponse.
const (
	fieldSeverity         = 'S'
	fieldSeverityNotLocal = 'V' // the severity, never translated
	fieldCode             = 'C'
	fieldMessage          = 'M'
	fieldDetail           = 'D'
)

// ErrorResponse is the content of an ErrorResponse message.
type ErrorResponse struct{ Severity, Code, Message, Detail string }

// AppendError appends an ErrorResponse message.
func AppendError(b []byte, e ErrorResponse) []byte {
	b, lengthAt := beginMessage(b, MsgErrorResponse)
	for _, field := range [...]struct {
		kind  byte
		value string
	}{
		{fieldSeverity, e.Severity},
		{fieldSeverityNotLocal, e.Severity},
		{fieldCode, e.Code},
		{fieldMessage, e.Message},
		{fieldDetail, e.Detail},
	} {
		if field.value != "" {
			b = appendCString(append(b, field.kind), field.value)
		}
	}
	return endMessage(append(b, 0), lengthAt)
}

// ParseError parses the body of an ErrorResponse; unknown fields are ignored. It reports whether the body is complete,
// has a severity and a code of five characters, and ends directly after its terminator.
func ParseError(body []byte) (e ErrorResponse, ok bool) {
	for len(body) > 0 && body[0] != 0 {
		kind := body[0]
		value, rest, ok := CString(body[1:])
		if !ok {
			return e, false
		}
		switch kind {
		case fieldSeverity:
			e.Severity = value
		case fieldCode:
			e.Code = value
		case fieldMessage:
			e.Message = value
		case fieldDetail:
			e.Detail = value
		}
		body = rest
	}
	onlyTerminatorLeft := len(body) == 1
	return e, onlyTerminatorLeft && len(e.Code) == sqlStateSize && e.Severity != ""
}
