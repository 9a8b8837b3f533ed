package cmdset

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/verbenapier/verbenapier/internal/admin"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/confd/strict"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

var errNotReady = errors.New("the node is not ready")

// readInput returns the content of a file, or of standard input for "-", and the
// name by which errors refer to it.
func (s *session) readInput(path string) (name string, data []byte, err error) {
	if path == "-" {
		data, err = io.ReadAll(io.LimitReader(s.stdin, strict.MaxSize+1))
		return "standard input", data, fault.Wrap(fault.Internal, err, "read standard input")
	}
	data, err = os.ReadFile(path)
	if err != nil {
		return path, nil, usageErrorf("%s", err)
	}
	return path, data, nil
}

// readDocument parses the document in a file, and also returns its text.
func (s *session) readDocument(path string) (doc *confd.Document, data []byte, err error) {
	name, data, err := s.readInput(path)
	if err != nil {
		return nil, nil, err
	}
	doc, err = confd.Parse(name, data)
	return doc, data, err
}

func configCheck(s *session) error {
	args, err := s.parse(nil, "FILE", 1, 1)
	if err != nil {
		return err
	}
	doc, _, err := s.readDocument(args[0])
	if err != nil {
		return err
	}
	counts := map[string]int{"services": len(doc.Services), "models": len(doc.Models), "organisations": len(doc.Organisations)}
	return s.printResult(counts, "valid: %d services, %d models, %d organisations", len(doc.Services), len(doc.Models), len(doc.Organisations))
}

func configDiff(s *session) error {
	args, err := s.parse(nil, "[OLD] NEW", 1, 2)
	if err != nil {
		return err
	}
	newer, _, err := s.readDocument(args[len(args)-1])
	if err != nil {
		return err
	}
	var older *confd.Document
	if len(args) == 2 {
		older, _, err = s.readDocument(args[0])
	} else {
		var answer admin.ConfigAnswer
		err = s.call("GET", "config", nil, &answer)
		older = answer.Document
		if fault.Is(err, fault.NoConfig) {
			older, err = &confd.Document{}, nil
		}
	}
	if err != nil {
		return err
	}
	return s.printChanges(confd.Diff(older, newer))
}

func (s *session) printChanges(changes []confd.Change) error {
	if s.JSON {
		if changes == nil {
			changes = []confd.Change{}
		}
		return s.printJSON(changes)
	}
	for _, c := range changes {
		printf(s.stdout, "%s\n", c)
	}
	return nil
}

func configApply(s *session) error {
	var o struct {
		Base *uint64 `long:"base" required:"true" description:"revision that the document was made from; 0 for the first one"`
	}
	args, err := s.parse(&o, "--base REVISION FILE", 1, 1)
	if err != nil {
		return err
	}
	// The document is parsed here so that its problems are reported with the
	// lines of the file, and without a request to a node.
	_, data, err := s.readDocument(args[0])
	if err != nil {
		return err
	}
	return s.applyDocument(data, *o.Base)
}

// applyDocument asks the node to replace the revision base by the document and
// prints the new revision and the changes.
func (s *session) applyDocument(data []byte, base uint64) error {
	var answer admin.ConfigAnswer
	if err := s.call("PUT", fmt.Sprintf("config?base=%d", base), data, &answer); err != nil {
		return err
	}
	if s.JSON {
		return s.printJSON(answer)
	}
	printf(s.stdout, "revision %d\n", answer.Revision)
	return s.printChanges(answer.Changes)
}

func configGet(s *session) error {
	args, err := s.parse(nil, "[REVISION]", 0, 1)
	if err != nil {
		return err
	}
	path := "config"
	if len(args) == 1 {
		path += "/" + args[0]
	}
	answer, err := s.fetchDocument(path, args...)
	if err != nil {
		return err
	}
	if s.JSON {
		return s.printJSON(answer)
	}
	printf(s.stderr, "revision %d\n", answer.Revision)
	return s.printJSON(answer.Document)
}

// fetchDocument fetches a document from the node. It first checks that the
// revisions, which are arguments of the command, are whole numbers.
func (s *session) fetchDocument(path string, revisions ...string) (admin.ConfigAnswer, error) {
	var answer admin.ConfigAnswer
	for _, r := range revisions {
		if _, err := strconv.ParseUint(r, 10, 64); err != nil {
			return answer, usageErrorf("REVISION must be a whole number, not %q", r)
		}
	}
	err := s.call("GET", path, nil, &answer)
	return answer, err
}

func configHistory(s *session) error {
	return list(s, "config/history", "REVISION TIME OPERATOR", func(r admin.Revision) []any {
		return []any{r.Revision, r.Time.UTC().Format(time.RFC3339), r.Operator}
	})
}

func configRollback(s *session) error {
	var o struct {
		Base *uint64 `long:"base" required:"true" description:"newest revision, which the rollback replaces"`
	}
	args, err := s.parse(&o, "--base REVISION REVISION", 1, 1)
	if err != nil {
		return err
	}
	answer, err := s.fetchDocument("config/"+args[0], args[0])
	if err != nil {
		return err
	}
	data, err := confd.Format(answer.Document)
	if err != nil {
		return err
	}
	return s.applyDocument(data, *o.Base)
}
