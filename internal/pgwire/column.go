package pgwire

import "encoding/binary"

const (
	columnCountSize = 2 // at the start of the body of a RowDescription and of a DataRow
	valueLengthSize = 4 // before each value of a DataRow
	dataRowHeadSize = columnCountSize + valueLengthSize

	// dataRowOverhead is the length field of a DataRow with one column, minus the length of the value.
	dataRowOverhead = lengthSize + dataRowHeadSize

	// columnFieldsSize is the size of the fields that follow the name of a column in a RowDescription.
	columnFieldsSize = 18
)

// columnCount returns the number of columns in the body of a RowDescription or DataRow; -1 if the body is too short.
func columnCount(body []byte) int {
	if len(body) < columnCountSize {
		return -1
	}
	return int(binary.BigEndian.Uint16(body))
}

// onlyColumnLength returns the length of the value, as stated in the body of a DataRow, if the row has exactly one
// column. The stated length of a null value is larger than any message.
func onlyColumnLength(body []byte) (length uint64, ok bool) {
	if columnCount(body) != 1 || len(body) < dataRowHeadSize {
		return 0, false
	}
	return uint64(binary.BigEndian.Uint32(body[columnCountSize:])), true
}

// mayBeOnlyColumn reports whether the received start of a body may belong to a DataRow whose single column fills a
// message of the given length.
func mayBeOnlyColumn(start []byte, messageLength uint32) bool {
	if len(start) < dataRowHeadSize {
		return true
	}
	length, ok := onlyColumnLength(start)
	return ok && length+dataRowOverhead == uint64(messageLength)
}

// OnlyColumn returns the value of a DataRow. It succeeds if the row has exactly one column and the value fills the body.
func OnlyColumn(body []byte) (value []byte, ok bool) {
	length, ok := onlyColumnLength(body)
	if !ok {
		return nil, false
	}
	value = body[dataRowHeadSize:]
	return value, length == uint64(len(value))
}

// HasOneColumn reports whether the body of a RowDescription describes exactly one column and contains nothing else.
func HasOneColumn(body []byte) bool {
	if columnCount(body) != 1 {
		return false
	}
	_, fields, ok := CString(body[columnCountSize:])
	return ok && len(fields) == columnFieldsSize
}
