// Package logstats adds up the counts that each gateway logs once a second at debug level. The sums show the load that all
// gateways together put on the hosts.
package logstats

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Second holds the sums over all gateways of one second.
type Second struct {
	At       int             `json:"at"`       // seconds since the start of the run, or since the epoch of the logged times
	Gateways int             `json:"gateways"` // number of lines with counts, one for each gateway
	Sums     map[string]int  `json:"sums"`
	Hosts    map[string]Host `json:"hosts"`
	Changes  map[string]int  `json:"changes"` // number of gateways that confirmed a primary, by group and host
}

// Host counts the attempts at one host that ended in the second, by outcome.
type Host struct {
	Served, Errored, TimedOut, Other int
	Took                             int // sum of the latencies of the served attempts, in milliseconds
}

func (h *Host) attempts() int { return h.Served + h.Errored + h.TimedOut + h.Other }

// Table lists the seconds of a run in order of time.
type Table []*Second

// ErrNoLogs is returned for a directory without log files.
var ErrNoLogs = errors.New("the directory has no file whose name ends in .log")

const (
	maxLine = 1 << 20 // bytes

	countsMessage    = "counts" // marks the lines that are added up
	primaryConfirmed = "balance: primary confirmed"
	hostCountsLength = 5 // length of the list logged for a host: succeeded, failed, timed out, others, mean milliseconds
)

// Read adds up the files of a directory whose names end in .log. If a line begins with a number and a space, the number is
// the time of the line, in seconds since the start of the run; otherwise the line's time field is. Lines that are not JSON
// objects are ignored.
func Read(dir fs.FS) (Table, error) {
	names, err := fs.Glob(dir, "*.log")
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, ErrNoLogs
	}
	seconds := map[int]*Second{}
	for _, name := range names {
		if err := readFile(dir, name, seconds); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	byTime := func(a, b *Second) int { return cmp.Compare(a.At, b.At) }
	return slices.SortedFunc(maps.Values(seconds), byTime), nil
}

func readFile(dir fs.FS, name string, seconds map[int]*Second) error {
	file, err := dir.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if at, fields, ok := parseLine(scanner.Text()); ok {
			secondAt(seconds, at).add(fields)
		}
	}
	return scanner.Err()
}

// parseLine returns the second and the fields of a log line. It reports false for a line that is not a JSON object.
func parseLine(line string) (at int, fields map[string]any, ok bool) {
	text := line
	prefix, rest, hasPrefix := strings.Cut(line, " ")
	seconds, err := strconv.ParseFloat(prefix, 64)
	hasPrefix = hasPrefix && err == nil
	if hasPrefix {
		text = rest
	}
	if json.Unmarshal([]byte(text), &fields) != nil {
		return 0, nil, false
	}
	if milliseconds, isNumber := fields["time"].(float64); isNumber && !hasPrefix {
		seconds = milliseconds / 1000
	}
	return int(seconds), fields, true
}

func secondAt(seconds map[int]*Second, at int) *Second {
	if seconds[at] == nil {
		seconds[at] = &Second{At: at, Sums: map[string]int{}, Hosts: map[string]Host{}, Changes: map[string]int{}}
	}
	return seconds[at]
}

// add adds one log line to the sums. Only lines with counts and lines that confirm a primary change anything.
func (s *Second) add(fields map[string]any) {
	message, _ := fields["message"].(string)
	if message == primaryConfirmed {
		s.Changes[fmt.Sprintf("group %v %v", fields["group"], fields["host"])]++
	}
	if message != countsMessage {
		return
	}
	s.Gateways++
	for name, value := range fields {
		if number, ok := value.(float64); ok && name != "time" {
			s.Sums[name] += int(number)
		}
	}
	hosts, _ := fields["attempts"].(map[string]any)
	for host, value := range hosts {
		sum := s.Hosts[host]
		sum.add(value)
		s.Hosts[host] = sum
	}
}

// add adds the numbers that one gateway logged for the host. A value of another form is ignored.
func (h *Host) add(value any) {
	parts, _ := value.([]any)
	if len(parts) != hostCountsLength {
		return
	}
	var numbers [hostCountsLength]int
	for i, part := range parts {
		number, _ := part.(float64)
		numbers[i] = int(number)
	}
	h.Served += numbers[0]
	h.Errored += numbers[1]
	h.TimedOut += numbers[2]
	h.Other += numbers[3]
	h.Took += numbers[0] * numbers[4]
}

// columns lists the sums that are printed, in the order of their columns.
var columns = []string{
	"requests", "served", "refused", "failed", "again", "errored", "full", "timed_out", "refused_dial", "reset",
	"skipped", "missed", "probes", "probes_failed", "dials", "dials_failed", "told", "told_bytes", "heard",
}

// Print writes the table with one line for each second: the sums, the number of hosts, the attempts at the busiest host, and
// the number of confirmed primaries.
func (t Table) Print(w io.Writer) error {
	var text strings.Builder
	fmt.Fprint(&text, "s\tgateways\t", strings.Join(columns, "\t"), "\thosts\tmost\tprimaries\t\n")
	for _, second := range t {
		fmt.Fprintf(&text, "%d\t%d\t", second.At, second.Gateways)
		for _, column := range columns {
			fmt.Fprintf(&text, "%d\t", second.Sums[column])
		}
		most := 0
		for _, host := range second.Hosts {
			most = max(most, host.attempts())
		}
		primaries := 0
		for _, gateways := range second.Changes {
			primaries += gateways
		}
		fmt.Fprintf(&text, "%d\t%d\t%d\t\n", len(second.Hosts), most, primaries)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(tw, text.String()); err != nil {
		return err
	}
	return tw.Flush()
}
