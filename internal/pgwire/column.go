package pgwire

import "encoding/binary"

const (
	columnCountSize = 2 // at the head of a RowDescription and a DataRow
	valueLengthSize = 4 // before each value of a DataRow
	dataRowHeadSize = columnCountSize + valueLengthSize

	// dataRowOverhead is what the length field of a DataRow with one column counts beside the value.
	dataRowOverhead = lengthSize + dataRowHeadSize

	// columnFieldsSize is the size of what describes a column in a RowDescription, behind its name.
	columnFieldsSize = 18
)

// columnCount returns the number of columns in the body of a RowDescription or DataRow; -1 if the body is too short.
func columnCount(body []byte) int {
	if len(body) < columnCountSize {
		return -1
	}
	return int(binary.BigEndian.Uint16(body))
}

// onlyColumnLength returns the length of the value, as stated in the body of a DataRow, if it has exactly one column. That
// of a null value is larger than any message.
func onlyColumnLength(body []byte) (length uint64, ok bool) {
	if columnCount(body) != 1 || len(body) < dataRowHeadSize {
		return 0, false
	}
	return uint64(binary.BigEndian.Uint32(body[columnCountSize:])), true
}

// mayBeOnlyColumn reports whether the begin of a body can become a DataRow with one column that fills a message of the
// given length.
func mayBeOnlyColumn(begin []byte, messageLength uint32) bool {
	if len(begin) < dataRowHeadSize {
		return true
	}
	length, ok := onlyColumnLength(begin)
	return ok && length+dataRowOverhead == uint64(messageLength)
}

// OnlyColumn returns the value of a DataRow that has one column, which fills it.
func OnlyColumn(body []byte) (value []byte, ok bool) {
	length, ok := onlyColumnLength(body)
	if !ok {
		return nil, false
	}
	value = body[dataRowHeadSize:]
	return value, length == uint64(len(value))
}

// OneColumn reports whether the body of a RowDescription describes one column and nothing else.
func OneColumn(body []byte) bool {
	if columnCount(body) != 1 {
		return false
	}
	_, fields, ok := CString(body[columnCountSize:])
	return ok && len(fields) == columnFieldsSize
}
