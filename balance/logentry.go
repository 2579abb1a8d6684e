package balance

import (
	"strconv"
	"strings"
)

// LogEntry is one line for the log of the embedding program. Fields with zero values are left out.
type LogEntry struct {
	Message  string
	HasGroup bool
	Group    int64
	Host     string
	Reason   string
	Count    int
}

// String returns the message, followed by the fields as name=value.
func (e *LogEntry) String() string {
	var text strings.Builder
	text.WriteString(e.Message)
	if e.HasGroup {
		text.WriteString(" group=" + strconv.FormatInt(e.Group, 10))
	}
	if e.Host != "" {
		text.WriteString(" host=" + e.Host)
	}
	if e.Reason != "" {
		text.WriteString(" reason=" + e.Reason)
	}
	if e.Count != 0 {
		text.WriteString(" count=" + strconv.Itoa(e.Count))
	}
	return text.String()
}
