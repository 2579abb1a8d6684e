package pgwire

import "encoding/binary"

// Fields of a RowDescription for a text column that belongs to no table.
const (
	textTypeOID      = 25
	variableTypeSize = 0xffff
	noTypeModifier   = 0xffffffff
)

// beginMessage appends a message's type and a zero length, and returns the offset of the length. endMessage sets the
// length.
func beginMessage(b []byte, kind byte) (extended []byte, lengthAt int) {
	return append(b, kind, 0, 0, 0, 0), len(b) + 1
}

func endMessage(b []byte, lengthAt int) []byte {
	binary.BigEndian.PutUint32(b[lengthAt:], uint32(len(b)-lengthAt))
	return b
}

func appendCString(b []byte, s string) []byte { return append(append(b, s...), 0) }

// AppendStartup appends a startup message with parameters, given as pairs of names and values.
func AppendStartup(b []byte, pairs ...string) []byte {
	lengthAt := len(b)
	b = binary.BigEndian.AppendUint32(append(b, 0, 0, 0, 0), ProtocolVersion)
	for _, s := range pairs {
		b = appendCString(b, s)
	}
	return endMessage(append(b, 0), lengthAt)
}

// AppendQuery appends a simple query message.
func AppendQuery(b []byte, sql string) []byte {
	b, lengthAt := beginMessage(b, MsgQuery)
	return endMessage(appendCString(b, sql), lengthAt)
}

// AppendTerminate appends the message with which a client ends its connection.
func AppendTerminate(b []byte) []byte {
	b, lengthAt := beginMessage(b, MsgTerminate)
	return endMessage(b, lengthAt)
}

// AppendAuthenticationOk appends the message that accepts a client without a password.
func AppendAuthenticationOk(b []byte) []byte {
	b, lengthAt := beginMessage(b, MsgAuthentication)
	return endMessage(append(b, 0, 0, 0, 0), lengthAt)
}

// AppendNegotiateProtocolVersion appends the message that tells a client that 3.0 is used although it requested a newer
// minor version.
func AppendNegotiateProtocolVersion(b []byte) []byte {
	b, lengthAt := beginMessage(b, MsgNegotiateVersion)
	return endMessage(append(b, 0, 0, 0, 0, 0, 0, 0, 0), lengthAt)
}

// AppendParameterStatus appends the message that reports a setting.
func AppendParameterStatus(b []byte, name, value string) []byte {
	b, lengthAt := beginMessage(b, MsgParameterStatus)
	return endMessage(appendCString(appendCString(b, name), value), lengthAt)
}

// AppendBackendKeyData appends the process id and the secret with which a query of this connection can be canceled.
func AppendBackendKeyData(b []byte, pid uint32, secret [4]byte) []byte {
	b, lengthAt := beginMessage(b, MsgBackendKeyData)
	return endMessage(append(binary.BigEndian.AppendUint32(b, pid), secret[:]...), lengthAt)
}

// AppendReadyForQuery appends the message that ends an answer, with the status "not in a transaction".
func AppendReadyForQuery(b []byte) []byte {
	b, lengthAt := beginMessage(b, MsgReadyForQuery)
	return endMessage(append(b, 'I'), lengthAt)
}

// AppendEmptyQuery appends the answer to an empty query.
func AppendEmptyQuery(b []byte) []byte {
	b, lengthAt := beginMessage(b, MsgEmptyQueryResponse)
	return endMessage(b, lengthAt)
}

// AppendCommandComplete appends the message that ends a statement's result.
func AppendCommandComplete(b []byte, tag string) []byte {
	b, lengthAt := beginMessage(b, MsgCommandComplete)
	return endMessage(appendCString(b, tag), lengthAt)
}

// AppendRow appends the description of a single text column and one row with it.
func AppendRow(b []byte, column, value string) []byte {
	const oneColumn = 1
	b, lengthAt := beginMessage(b, MsgRowDescription)
	b = binary.BigEndian.AppendUint16(b, oneColumn)
	b = appendCString(b, column)
	b = append(b, 0, 0, 0, 0, 0, 0) // no table (4 bytes) and no column of a table (2 bytes)
	b = binary.BigEndian.AppendUint32(b, textTypeOID)
	b = binary.BigEndian.AppendUint16(b, variableTypeSize)
	b = binary.BigEndian.AppendUint32(b, noTypeModifier)
	b = append(b, 0, 0) // text format
	b = endMessage(b, lengthAt)

	b, lengthAt = beginMessage(b, MsgDataRow)
	b = binary.BigEndian.AppendUint16(b, oneColumn)
	b = binary.BigEndian.AppendUint32(b, uint32(len(value)))
	return endMessage(append(b, value...), lengthAt)
}
