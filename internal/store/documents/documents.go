// Package documents keeps operators' documents in the store: numbered revisions with author, time and note, of which
// none is changed once it is there. It decides what a change writes and on what condition; it does no I/O.
package documents

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"cloverrock/internal/store/machine"
)

// NS is the namespace of documents. Only changes made here are let into it.
const NS = "config"

const (
	// MaxBody bounds a document.
	MaxBody = 256 << 10
	// KeepRevisions bounds the history of one; the oldest go.
	KeepRevisions = 200
)

// Errors of a change.
var (
	ErrName     = errors.New("documents: a name is 1 to 64 letters, digits, dots or dashes, and begins with a letter")
	ErrMissing  = errors.New("documents: there is no such document or revision")
	ErrConflict = errors.New("documents: the document was changed meanwhile")
	ErrSame     = errors.New("documents: nothing would change")
)

var named = regexp.MustCompile(`^[a-zA-Z][a-zA-Z0-9.-]{0,63}$`)

// Head is the latest revision's number.
type Head struct {
	Number int64 `msgpack:"n"`
	First  int64 `msgpack:"f"` // oldest revision that is kept
}

// Revision is a document as it stood from a change on.
type Revision struct {
	Name   string          `msgpack:"-" json:"document"`
	Number int64           `msgpack:"n" json:"revision"`
	Author string          `msgpack:"a" json:"author"`
	AtMS   int64           `msgpack:"t" json:"at_ms"` // by the clock of the instance that took the change
	Note   string          `msgpack:"m,omitempty" json:"note,omitempty"`
	Back   int64           `msgpack:"b,omitempty" json:"rolled_back_to,omitempty"`
	Body   json.RawMessage `msgpack:"d" json:"body,omitempty"`
}

func headKey(name string) string { return "head/" + name }
func bodyKey(name string, number int64) string {
	return fmt.Sprintf("body/%s/%012d", name, number)
}

// Reader is what of the state a change looks at.
type Reader interface {
	Get(ns, key string) (machine.KV, bool)
	List(ns, prefix string, limit int) []machine.KV
}

// Latest returns the head of a document; the number is 0 if there is none.
func Latest(r Reader, name string) (Head, int64, error) {
	kv, found := r.Get(NS, headKey(name))
	if !found {
		return Head{}, 0, nil
	}
	var h Head
	if err := msgpack.Unmarshal(kv.Value, &h); err != nil {
		return Head{}, 0, fmt.Errorf("documents: head of %s: %w", name, err)
	}
	return h, kv.Modified, nil
}

// At returns a revision; number 0 is the latest.
func At(r Reader, name string, number int64) (*Revision, error) {
	if !named.MatchString(name) {
		return nil, ErrName
	}
	if number == 0 {
		h, _, err := Latest(r, name)
		if err != nil {
			return nil, err
		}
		number = h.Number
	}
	kv, found := r.Get(NS, bodyKey(name, number))
	if !found {
		return nil, fmt.Errorf("%w: %s, revision %d", ErrMissing, name, number)
	}
	return Decode(name, kv.Value)
}

// Decode reads a revision.
func Decode(name string, b []byte) (*Revision, error) {
	rev := &Revision{}
	if err := msgpack.Unmarshal(b, rev); err != nil {
		return nil, fmt.Errorf("documents: %s: %w", name, err)
	}
	rev.Name = name
	return rev, nil
}

// History returns the revisions that are kept, oldest first, without their bodies.
func History(r Reader, name string) ([]*Revision, error) {
	var all []*Revision
	for _, kv := range r.List(NS, "body/"+name+"/", 0) {
		rev, err := Decode(name, kv.Value)
		if err != nil {
			return nil, err
		}
		rev.Body = nil
		all = append(all, rev)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrMissing, name)
	}
	return all, nil
}

// Names lists the documents.
func Names(r Reader) (names []string) {
	for _, kv := range r.List(NS, "head/", 0) {
		names = append(names, strings.TrimPrefix(kv.Key, "head/"))
	}
	return names
}

// Change is what an operator wants.
type Change struct {
	Name, Author, Note string
	AtMS               int64
	Body               []byte
	Base               int64 // the revision that the operator has seen; -1: any, 0: there is none yet
	Back               int64 // instead of Body: the revision to go back to
}

// Plan returns the command that makes a change, and the revision it makes. The command does nothing if another change
// comes first: then its result does not hold.
func Plan(r Reader, c Change) (*machine.Command, *Revision, error) {
	if !named.MatchString(c.Name) {
		return nil, nil, ErrName
	}
	head, modified, err := Latest(r, c.Name)
	if err != nil {
		return nil, nil, err
	}
	if c.Base >= 0 && c.Base != head.Number {
		return nil, nil, fmt.Errorf("%w: %s stands at revision %d, not %d", ErrConflict, c.Name, head.Number, c.Base)
	}
	if c.Back != 0 {
		old, err := At(r, c.Name, c.Back)
		if err != nil {
			return nil, nil, err
		}
		c.Body = old.Body
	}
	if len(c.Body) > MaxBody {
		return nil, nil, fmt.Errorf("documents: %s has %d bytes; %d at most", c.Name, len(c.Body), MaxBody)
	}
	var tidy bytes.Buffer
	if err := json.Compact(&tidy, c.Body); err != nil {
		return nil, nil, fmt.Errorf("documents: %s is not JSON: %w", c.Name, err)
	}
	if head.Number > 0 {
		if now, err := At(r, c.Name, head.Number); err == nil && bytes.Equal(now.Body, tidy.Bytes()) {
			return nil, nil, fmt.Errorf("%w: %s stands at revision %d", ErrSame, c.Name, head.Number)
		}
	}
	rev := &Revision{Name: c.Name, Number: head.Number + 1, Author: c.Author, AtMS: c.AtMS, Note: c.Note, Back: c.Back, Body: tidy.Bytes()}
	next := Head{Number: rev.Number, First: max(head.First, 1)}
	var ops []machine.Op
	for next.Number-next.First >= KeepRevisions {
		ops = append(ops, machine.Op{Kind: machine.Delete, NS: NS, Key: bodyKey(c.Name, next.First)})
		next.First++
	}
	body, err := msgpack.Marshal(rev)
	if err != nil {
		return nil, nil, fmt.Errorf("documents: encode %s: %w", c.Name, err)
	}
	h, err := msgpack.Marshal(&next)
	if err != nil {
		return nil, nil, fmt.Errorf("documents: encode %s: %w", c.Name, err)
	}
	ops = append(ops, machine.Op{Kind: machine.Put, NS: NS, Key: bodyKey(c.Name, rev.Number), Value: body},
		machine.Op{Kind: machine.Put, NS: NS, Key: headKey(c.Name), Value: h})
	return &machine.Command{Kind: machine.TransactionKind, Then: ops,
		If: []machine.Compare{{NS: NS, Key: headKey(c.Name), Target: machine.Modified, Number: modified}}}, rev, nil
}

// StatusNS is where instances say what they run; each key ends with its instance's lease.
const StatusNS = "status"

// Running is what an instance says of a document.
type Running struct {
	Instance string `json:"instance"`
	Document string `json:"document"`
	Revision int64  `json:"revision"` // the latest that it has looked at
	Applied  int64  `json:"applied"`  // the latest that it runs
	State    string `json:"state"`    // applied, restart, failed
	Detail   string `json:"detail,omitempty"`
	AtMS     int64  `json:"at_ms"`
	Version  string `json:"version,omitempty"`
}

// RunningKey is the key of what an instance says of a document.
func RunningKey(instance, document string) string { return "running/" + document + "/" + instance }
