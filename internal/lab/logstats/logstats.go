// Package fleet adds up what many gateways log once a second at debug level, so that one sees what all of them do
// together to the hosts: what is harmless in one log may not be in eighty.
package logstats

import (
	"bufio"
	"cmp"
	"encoding/json"
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

// Host is what became of the attempts at one host that ended in the second.
type Host struct {
	Served, Errored, TimedOut, Other int
	Took                             int // milliseconds, all served together
}

func (h *Host) all() int { return h.Served + h.Errored + h.TimedOut + h.Other }

// Table is the fleet's day, by seconds.
type Table []*Second

// Read adds up the files of a directory whose names end in .log. A line may begin with the seconds since the start of
// the day; else its time counts, from the first line of all. What is no line of a gateway is passed over.
func Read(dir fs.FS) (Table, error) {
	names, err := fs.Glob(dir, "*.log")
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("no file of the directory ends in .log")
	}
	seconds := map[int]*Second{}
	for _, name := range names {
		f, err := dir.Open(name)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		err = read(f, seconds)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return slices.SortedFunc(maps.Values(seconds), func(a, b *Second) int { return cmp.Compare(a.At, b.At) }), nil
}

func read(r io.Reader, seconds map[int]*Second) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		head, text, stamped := strings.Cut(sc.Text(), " ")
		at, err := strconv.ParseFloat(head, 64)
		if !stamped || err != nil {
			text = sc.Text()
		}
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) != nil {
			continue
		}
		if ms, ok := line["time"].(float64); ok && (!stamped || err != nil) {
			at = ms / 1000
		}
		s := seconds[int(at)]
		if s == nil {
			s = &Second{At: int(at), Sums: map[string]int{}, Hosts: map[string]Host{}, Changes: map[string]int{}}
			seconds[s.At] = s
		}
		message, _ := line["message"].(string)
		if group, host, ok := strings.Cut(message, ": primary "); ok && !strings.Contains(host, " ") {
			s.Changes[group+" "+host]++
		}
		if message != "counts" {
			continue
		}
		s.Gateways++
		for k, v := range line {
			if n, ok := v.(float64); ok && k != "time" {
				s.Sums[k] += int(n)
			}
		}
		if hosts, ok := line["attempts"].(map[string]any); ok {
			for h, v := range hosts {
				var n [5]int
				if parts, ok := v.([]any); ok && len(parts) == len(n) {
					for i, p := range parts {
						f, _ := p.(float64)
						n[i] = int(f)
					}
				}
				sum := s.Hosts[h]
				s.Hosts[h] = Host{sum.Served + n[0], sum.Errored + n[1], sum.TimedOut + n[2], sum.Other + n[3], sum.Took + n[0]*n[4]}
			}
		}
	}
	return sc.Err()
}

// columns are the sums that are printed, in their order.
var columns = []string{"requests", "served", "refused", "failed", "again", "errored", "full", "timed_out", "refused_dial", "reset",
	"skipped", "missed", "probes", "probes_failed", "dials", "dials_failed", "told", "told_bytes", "heard"}

// Print writes the table, one line a second: the sums, and the host that got most.
func (t Table) Print(w io.Writer) error {
	var text strings.Builder
	fmt.Fprint(&text, "s\tgateways\t", strings.Join(columns, "\t"), "\thosts\tmost\tprimaries\t\n")
	for _, s := range t {
		fmt.Fprintf(&text, "%d\t%d\t", s.At, s.Gateways)
		for _, c := range columns {
			fmt.Fprintf(&text, "%d\t", s.Sums[c])
		}
		most, learned := 0, 0
		for _, n := range s.Hosts {
			most = max(most, n.all())
		}
		for _, n := range s.Changes {
			learned += n
		}
		fmt.Fprintf(&text, "%d\t%d\t%d\t\n", len(s.Hosts), most, learned)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(tw, text.String()); err != nil {
		return err
	}
	return tw.Flush()
}
