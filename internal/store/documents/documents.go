// Package documents defines operators' documents in the store: numbered revisions with author, time and note, which are
// never changed. It decides what a change writes and on what condition; it does no I/O.
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

// NS is the namespace of documents. It is written only by the commands that Plan returns.
const NS = "config"

const (
	// Gateway is the document that is laid over the configuration of gateways.
	Gateway = "gateway"
	// SchemaSuffix ends the name of the document that holds another's schema.
	SchemaSuffix = ".schema"
	// MaxBody bounds a document in bytes.
	MaxBody = 256 << 10
	// KeepRevisions bounds the revisions of a document that are kept; the oldest are dropped.
	KeepRevisions = 200
)

// Errors of a change.
var (
	ErrName     = errors.New("documents: a name is 1 to 64 letters, digits, dots or dashes, and begins with a letter")
	ErrMissing  = errors.New("documents: there is no such document or revision")
	ErrConflict = errors.New("documents: the document was changed meanwhile")
	ErrSame     = errors.New("documents: nothing would change")
)

var validName = regexp.MustCompile(`^[a-zA-Z][a-zA-Z0-9.-]{0,63}$`)

// Head is the stored record of which revisions there are.
type Head struct {
	Number int64 `msgpack:"n"`
	First  int64 `msgpack:"f"` // oldest revision that is kept
}

// Revision is a document as it stood from a change on.
type Revision struct {
	Name         string          `msgpack:"-" json:"document"`
	Number       int64           `msgpack:"n" json:"revision"`
	Author       string          `msgpack:"a" json:"author"`
	AtMS         int64           `msgpack:"t" json:"at_ms"` // by the clock of the instance that took the change
	Note         string          `msgpack:"m,omitempty" json:"note,omitempty"`
	RolledBackTo int64           `msgpack:"b,omitempty" json:"rolled_back_to,omitempty"`
	Body         json.RawMessage `msgpack:"d" json:"body,omitempty"`
}

func headKey(name string) string { return "head/" + name }
func bodyKey(name string, number int64) string {
	return fmt.Sprintf("body/%s/%012d", name, number)
}

// Reader reads the state.
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
	if !validName.MatchString(name) {
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

// Change is what an operator asks for.
type Change struct {
	Name, Author, Note string
	AtMS               int64
	Body               []byte
	Base               int64 // the revision that the operator has changed; -1: any, 0: there is none yet
	RollBackTo         int64 // instead of Body: the revision to go back to
}

// Plan returns the command that makes a change, and the revision that it makes. The command does nothing if another
// change comes first: then its result does not hold. The errors are ErrName, ErrConflict, ErrMissing and ErrSame, and
// those of a body that is too long or no JSON.
func Plan(r Reader, change Change) (*machine.Command, *Revision, error) {
	if !validName.MatchString(change.Name) {
		return nil, nil, ErrName
	}
	head, modified, err := Latest(r, change.Name)
	if err != nil {
		return nil, nil, err
	}
	if change.Base >= 0 && change.Base != head.Number {
		return nil, nil, fmt.Errorf("%w: %s stands at revision %d, not %d", ErrConflict, change.Name, head.Number, change.Base)
	}
	body, err := newBody(r, &change)
	if err != nil {
		return nil, nil, err
	}
	if head.Number > 0 {
		latest, err := At(r, change.Name, head.Number)
		if err == nil && bytes.Equal(latest.Body, body) {
			return nil, nil, fmt.Errorf("%w: %s stands at revision %d", ErrSame, change.Name, head.Number)
		}
	}
	revision := &Revision{
		Name:         change.Name,
		Number:       head.Number + 1,
		Author:       change.Author,
		AtMS:         change.AtMS,
		Note:         change.Note,
		RolledBackTo: change.RollBackTo,
		Body:         body,
	}
	ops, err := revision.writes(head)
	if err != nil {
		return nil, nil, fmt.Errorf("documents: encode %s: %w", change.Name, err)
	}
	unchanged := machine.Compare{NS: NS, Key: headKey(change.Name), Target: machine.Modified, Number: modified}
	return &machine.Command{Kind: machine.TransactionKind, If: []machine.Compare{unchanged}, Then: ops}, revision, nil
}

// newBody returns the compacted body of a change: its own, or that of the revision to roll back to.
func newBody(r Reader, change *Change) ([]byte, error) {
	body := change.Body
	if change.RollBackTo != 0 {
		old, err := At(r, change.Name, change.RollBackTo)
		if err != nil {
			return nil, err
		}
		body = old.Body
	}
	if len(body) > MaxBody {
		return nil, fmt.Errorf("documents: %s has %d bytes; %d at most", change.Name, len(body), MaxBody)
	}
	var compacted bytes.Buffer
	if err := json.Compact(&compacted, body); err != nil {
		return nil, fmt.Errorf("documents: %s is not JSON: %w", change.Name, err)
	}
	return compacted.Bytes(), nil
}

// writes returns the operations that make this revision the latest, and drop those that are too old.
func (rev *Revision) writes(head Head) ([]machine.Op, error) {
	next := Head{Number: rev.Number, First: max(head.First, 1)}
	var ops []machine.Op
	for next.Number-next.First >= KeepRevisions {
		ops = append(ops, machine.Op{Kind: machine.Delete, NS: NS, Key: bodyKey(rev.Name, next.First)})
		next.First++
	}
	body, err := msgpack.Marshal(rev)
	if err != nil {
		return nil, err
	}
	headValue, err := msgpack.Marshal(&next)
	if err != nil {
		return nil, err
	}
	return append(ops,
		machine.Op{Kind: machine.Put, NS: NS, Key: bodyKey(rev.Name, rev.Number), Value: body},
		machine.Op{Kind: machine.Put, NS: NS, Key: headKey(rev.Name), Value: headValue}), nil
}

// StatusNS is the namespace in which instances report what they run; each key is removed with its instance's lease.
const StatusNS = "status"

// Running is what an instance reports of a document.
type Running struct {
	Instance     string `json:"instance"`
	Document     string `json:"document"`
	Revision     int64  `json:"revision"` // the latest that it has looked at
	Applied      int64  `json:"applied"`  // the latest that it runs
	State        string `json:"state"`    // applied, restart, failed
	Detail       string `json:"detail,omitempty"`
	ReportedAtMS int64  `json:"at_ms"`
	Version      string `json:"version,omitempty"`
}

// RunningKey is the key of what an instance reports of a document.
func RunningKey(instance, document string) string { return "running/" + document + "/" + instance }
