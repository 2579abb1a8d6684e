// Package logstats adds up the counts that many gateways log once a second at debug level, to show the load that all of
// them together put on the hosts.
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

// Second is what all gateways did in one second.
type Second struct {
	At       int             `json:"at"`
	Gateways int             `json:"gateways"` // that logged it
	Sums     map[string]int  `json:"sums"`
	Hosts    map[string]Host `json:"hosts"`
	Changes  map[string]int  `json:"changes"` // gateways that learned of a primary, by group and host
}

// Host counts the attempts at one host that ended in the second, by outcome.
type Host struct {
	Served, Errored, TimedOut, Other int
	Took                             int // sum of the latencies of the served attempts, in milliseconds
}

func (h *Host) all() int { return h.Served + h.Errored + h.TimedOut + h.Other }

// Table has the seconds of a run in order.
type Table []*Second

// ErrNoLogs is returned for a directory without log files.
var ErrNoLogs = errors.New("no file of the directory ends in .log")

const (
	maxLine = 1 << 20 // bytes

	countsMessage    = "counts" // marks the lines that are added up
	primaryConfirmed = "balance: primary confirmed"
	tallySize        = 5 // numbers of each host: succeeded, failed, timed out, others, mean milliseconds
)

// Read adds up the files of a directory whose names end in .log. A line may begin with the seconds since the start of the
// run; else the time that it logs counts. Lines that no gateway wrote are ignored.
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

// parseLine returns the second and the fields of a log line.
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

// add adds one line's fields up.
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

// add adds one gateway's numbers of the host up. A value of another form adds nothing.
func (h *Host) add(value any) {
	parts, _ := value.([]any)
	if len(parts) != tallySize {
		return
	}
	var numbers [tallySize]int
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

// columns are the sums that are printed, in their order.
var columns = []string{
	"requests", "served", "refused", "failed", "again", "errored", "full", "timed_out", "refused_dial", "reset",
	"skipped", "missed", "probes", "probes_failed", "dials", "dials_failed", "told", "told_bytes", "heard",
}

// Print writes the table, one line for each second: the sums, the number of hosts, and the attempts at the busiest one.
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
			most = max(most, host.all())
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
