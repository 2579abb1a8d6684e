package main

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
	"testing"
)

const options = `{"balancers":2,"classes":[{"aimMs":400.0,"deadlineMs":1000.0,"group":"all","repeat":"read_like","windowMs":5000.0,"worth":1.0},` +
	`{"aimMs":500.0,"deadlineMs":3000.0,"group":"cell","repeat":"idempotency_key","windowMs":2000.0,"worth":3.0}],` +
	`"extra":{"baseTimeMs":1000.0,"classRead":["loose","update"],"roleInList":"initial","stalenessBoundMs":[0,0],"tokens":"client"},` +
	`"limits":{"cancel":true,"maxAttempts":4,"probes":true,"maxRetryAfterMs":500},` +
	`"obligations":{"coldFrom":0.2,"coldMs":1000,"fallMultiple":2,"overloadForMs":1000},"tickMs":5.0,"zones":["z"],"unheardOf":[1]}`

// runAdapter runs the adapter on an input and returns its output and its diagnostics.
func runAdapter(t *testing.T, input string) (output, diagnostics string) {
	t.Helper()
	var out, diag bytes.Buffer
	if err := run(strings.NewReader(input), &out, &diag); err != nil {
		t.Fatal(err)
	}
	return out.String(), diag.String()
}

func start(who int) string {
	return fmt.Sprintf("start who=%d entropy=%d options=%s\n", who, who+40, options) +
		"roster buffer=0 records=2\nm host=h-a phase=1 isPrimary=1 cluster=3 units=1\nm cluster=3 units=1.5 phase=1 host=h-b\n" +
		fmt.Sprintf("topology who=%d epoch=1 buffer=0 scope=2\n", who)
}

func events(who int) []string {
	return []string{
		fmt.Sprintf("call ticket=%d who=%d service=1 session=5 isWrite=1 shard=3 dropDeadMs=9000 novelty=4\n", 10+who, who),
		fmt.Sprintf("completed who=%d ticket=%d try=0 note=25485 host=h-a timeTakenMs=18.5 over=1 status=done\n", who, 10+who),
		fmt.Sprintf("call who=%d ticket=%d service=0 shard=3 dropDeadMs=9000\n", who, 20+who),
		fmt.Sprintf("deadline_hit who=%d ref=0\n", who),
	}
}

// linesOf returns the lines of an output that name an instance.
func linesOf(output string, instance int) []string {
	var found []string
	for line := range strings.SplitSeq(output, "\n") {
		if strings.Contains(line, fmt.Sprintf("who=%d ", instance)) {
			found = append(found, line)
		}
	}
	return found
}

// An instance must act the same whether or not it shares its process with another one.
func TestInstancesOfOneProcessAreIndependent(t *testing.T) {
	input := func(instances ...int) string {
		var b strings.Builder
		b.WriteString("turn wallMs=8000\n")
		for _, w := range instances {
			b.WriteString(start(w))
		}
		b.WriteString("end\n")
		for i := range events(0) {
			fmt.Fprintf(&b, "turn wallMs=%d\n", 8020+20*i)
			for _, w := range instances {
				b.WriteString(events(w)[i])
			}
			b.WriteString("end\n")
		}
		return b.String()
	}
	both, diag := runAdapter(t, input(1, 2))
	if diag != "" {
		t.Fatal(diag)
	}
	for _, who := range []int{1, 2} {
		alone, _ := runAdapter(t, input(who))
		got := strings.Join(linesOf(both, who), "\n")
		want := strings.Join(linesOf(alone, who), "\n")
		if got != want {
			t.Errorf("instance %d acts differently beside another one:\n%s\nalone:\n%s", who, got, want)
		}
		if !strings.Contains(alone, fmt.Sprintf("issue who=%d ticket=%d host=h-a\n", who, 10+who)) {
			t.Errorf("the write was not sent to the primary of the list:\n%s", alone)
		}
	}
}

func TestFaultyLinesAreReportedAndSkipped(t *testing.T) {
	for _, bad := range []string{
		"call who=1 ticket=x service=0", "call ticket=4", "call who=77 ticket=4", "topology who=1 buffer=99 scope=1",
		"completed who=1 ticket=4 status=strange host=h-a", "m host=h-z", "roster buffer=40 records=1",
		"start who=9 entropy=1 options={", "start who=9 entropy=1 options={}", "message who=1 from=0 contents=zz",
	} {
		out, diag := runAdapter(t, "turn wallMs=8000\n"+start(1)+"end\nturn wallMs=8001\n"+bad+"\n"+
			"call who=1 ticket=6 service=1 session=5 shard=3 dropDeadMs=9000\nend\n")
		if diag == "" {
			t.Errorf("%q: nothing on standard error", bad)
		}
		if !strings.Contains(out, "issue who=1 ticket=6 host=h-a\nend\n") {
			t.Errorf("%q: the rest of the batch was not answered:\n%s", bad, out)
		}
	}
	if _, diag := runAdapter(t, "turn wallMs=8000\n"+start(1)+"whatever who=1 a=b\nend\n"); diag != "" {
		t.Errorf("an unknown message must be skipped without diagnostics, got %q", diag)
	}
}

func TestListNumbersAreResolvedWhenTheEventIsRead(t *testing.T) {
	in := "turn wallMs=8000\n" + start(1) +
		"roster buffer=0 records=1\nm host=h-q phase=1 isPrimary=1 cluster=3 units=1\n" +
		strings.SplitAfter(start(2), "\n")[0] + "topology who=2 epoch=1 buffer=0 scope=2\nend\n" +
		"turn wallMs=8005\n" + events(1)[0] + events(2)[0] + "end\n"
	out, _ := runAdapter(t, in)
	var sent []string
	for line := range strings.SplitSeq(out, "\n") {
		if strings.HasPrefix(line, "issue") {
			sent = append(sent, line)
		}
	}
	sort.Strings(sent)
	if strings.Join(sent, ",") != "issue who=1 ticket=11 host=h-a,issue who=2 ticket=12 host=h-q" {
		t.Fatal(sent)
	}
}

func TestInstanceRestartsWithinABatch(t *testing.T) {
	out, diag := runAdapter(t, "turn wallMs=8000\n"+start(1)+events(1)[0]+"teardown who=1\n"+start(1)+
		strings.ReplaceAll(events(1)[0], "11", "31")+"end\n")
	if diag != "" || !strings.Contains(out, "ticket=31 host=h-a") {
		t.Fatal(out, diag)
	}
}
