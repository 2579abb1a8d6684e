// Package documents defines the documents that operators keep in the store: numbered, immutable revisions with author,
// time and note. It computes the command that commits a change and the condition under which it applies. It does no I/O.
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

// NS is the namespace of documents. Only the commands that PlanChange returns write to it.
const NS = "config"

const (
	// Gateway is the name of the document that overrides the configuration of gateways.
	Gateway = "gateway"
	// SchemaSuffix ends the name of the document that holds the schema of another document.
	SchemaSuffix = ".schema"
	// MaxBody bounds the body of a document in bytes.
	MaxBody = 256 << 10
	// KeepRevisions is the number of revisions of a document that are kept; older ones are deleted.
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

// Head is the stored record of which revisions of a document exist.
type Head struct {
	Number int64 `msgpack:"n"` // latest revision; 0: there is no document
	First  int64 `msgpack:"f"` // oldest revision that is kept
}

// Revision is one immutable revision of a document.
type Revision struct {
	Name         string          `msgpack:"-" json:"document"`
	Number       int64           `msgpack:"n" json:"revision"`
	Author       string          `msgpack:"a" json:"author"`
	AtMS         int64           `msgpack:"t" json:"at_ms"` // Unix time in milliseconds, by the clock of the instance that committed the revision
	Note         string          `msgpack:"m,omitempty" json:"note,omitempty"`
	RolledBackTo int64           `msgpack:"b,omitempty" json:"rolled_back_to,omitempty"`
	Body         json.RawMessage `msgpack:"d" json:"body,omitempty"`
}

// headKey returns the key of a document's Head.
func headKey(name string) string { return "head/" + name }

// bodyKey returns the key of a Revision.
func bodyKey(name string, number int64) string {
	return fmt.Sprintf("body/%s/%012d", name, number)
}

// Reader reads the state of the store; *machine.Machine implements it.
type Reader interface {
	Get(ns, key string) (machine.KV, bool)
	List(ns, prefix string, limit int) []machine.KV
}

// ReadHead returns the head of a document and the store's revision at which it was written. Both are zero if there is no
// such document.
func ReadHead(r Reader, name string) (head Head, modified int64, err error) {
	kv, found := r.Get(NS, headKey(name))
	if !found {
		return Head{}, 0, nil
	}
	var h Head
	if err := msgpack.Unmarshal(kv.Value, &h); err != nil {
		return Head{}, 0, fmt.Errorf("documents: decode the head of %s: %w", name, err)
	}
	return h, kv.Modified, nil
}

// ReadRevision returns a revision of a document; number 0 is the latest. The error wraps ErrName or ErrMissing.
func ReadRevision(r Reader, name string, number int64) (*Revision, error) {
	if !validName.MatchString(name) {
		return nil, ErrName
	}
	if number == 0 {
		h, _, err := ReadHead(r, name)
		if err != nil {
			return nil, err
		}
		number = h.Number
	}
	kv, found := r.Get(NS, bodyKey(name, number))
	if !found {
		return nil, fmt.Errorf("%w: %s, revision %d", ErrMissing, name, number)
	}
	return DecodeRevision(name, kv.Value)
}

// DecodeRevision decodes a stored revision of a document.
func DecodeRevision(name string, b []byte) (*Revision, error) {
	rev := &Revision{}
	if err := msgpack.Unmarshal(b, rev); err != nil {
		return nil, fmt.Errorf("documents: decode a revision of %s: %w", name, err)
	}
	rev.Name = name
	return rev, nil
}

// History returns the revisions that are still kept, oldest first, without their bodies. The error wraps ErrMissing if
// there is no such document.
func History(r Reader, name string) ([]*Revision, error) {
	var all []*Revision
	for _, kv := range r.List(NS, "body/"+name+"/", 0) {
		rev, err := DecodeRevision(name, kv.Value)
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

// Names returns the names of all documents in ascending order.
func Names(r Reader) (names []string) {
	for _, kv := range r.List(NS, "head/", 0) {
		names = append(names, strings.TrimPrefix(kv.Key, "head/"))
	}
	return names
}

// Change is a change of a document that an operator requests.
type Change struct {
	Name, Author, Note string
	AtMS               int64 // Unix time in milliseconds
	Body               []byte
	Base               int64 // revision on which the change is based; -1: any revision; 0: the document must not exist yet
	RollBackTo         int64 // revision whose body is used instead of Body; 0: none
}

// PlanChange returns the command that commits a change, and the resulting revision. If another change is committed first,
// the command has no effect and Holds is false in its result. The error wraps ErrName, ErrConflict, ErrMissing or ErrSame,
// or reports that the body is too long or not JSON.
func PlanChange(r Reader, change Change) (*machine.Command, *Revision, error) {
	if !validName.MatchString(change.Name) {
		return nil, nil, ErrName
	}
	head, modified, err := ReadHead(r, change.Name)
	if err != nil {
		return nil, nil, err
	}
	if change.Base >= 0 && change.Base != head.Number {
		return nil, nil, fmt.Errorf("%w: %s is at revision %d, not %d", ErrConflict, change.Name, head.Number, change.Base)
	}
	body, err := newBody(r, &change)
	if err != nil {
		return nil, nil, err
	}
	if head.Number > 0 {
		latest, err := ReadRevision(r, change.Name, head.Number)
		if err == nil && bytes.Equal(latest.Body, body) {
			return nil, nil, fmt.Errorf("%w: %s is at revision %d", ErrSame, change.Name, head.Number)
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
	ops, err := revision.storeOps(head)
	if err != nil {
		return nil, nil, fmt.Errorf("documents: encode %s: %w", change.Name, err)
	}
	unchanged := machine.Compare{NS: NS, Key: headKey(change.Name), Target: machine.Modified, Number: modified}
	return &machine.Command{Kind: machine.TransactionKind, If: []machine.Compare{unchanged}, Then: ops}, revision, nil
}

// newBody returns the compacted body of a change: change.Body, or the body of the revision to roll back to.
func newBody(r Reader, change *Change) ([]byte, error) {
	body := change.Body
	if change.RollBackTo != 0 {
		old, err := ReadRevision(r, change.Name, change.RollBackTo)
		if err != nil {
			return nil, err
		}
		body = old.Body
	}
	if len(body) > MaxBody {
		return nil, fmt.Errorf("documents: %s has %d bytes, but at most %d are allowed", change.Name, len(body), MaxBody)
	}
	var compacted bytes.Buffer
	if err := json.Compact(&compacted, body); err != nil {
		return nil, fmt.Errorf("documents: %s is not JSON: %w", change.Name, err)
	}
	return compacted.Bytes(), nil
}

// storeOps returns the operations that store this revision as the latest and delete those older than KeepRevisions.
func (rev *Revision) storeOps(head Head) ([]machine.Op, error) {
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

// StatusNS is the namespace in which instances report which revisions they run. Each report is deleted when the lease of
// its instance ends.
const StatusNS = "status"

// Running is an instance's report on the revision of a document that it runs.
type Running struct {
	Instance     string `json:"instance"`
	Document     string `json:"document"`
	Revision     int64  `json:"revision"` // latest revision that the instance has evaluated
	Applied      int64  `json:"applied"`  // revision that the instance runs
	State        string `json:"state"`    // applied, restart, failed
	Detail       string `json:"detail,omitempty"`
	ReportedAtMS int64  `json:"at_ms"`
	Version      string `json:"version,omitempty"`
}

// RunningKey returns the key of an instance's report on a document.
func RunningKey(instance, document string) string { return "running/" + document + "/" + instance }
