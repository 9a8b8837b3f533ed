package cmdset

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// printJSON prints a value as indented JSON.
func (s *session) printJSON(v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode the output")
	}
	_, err = fmt.Fprintln(s.stdout, string(data))
	return fault.Wrap(fault.Internal, err, "print")
}

// list runs a command that takes no arguments: it fetches the list at path and
// prints it as a table. The function row returns the cells of an entry.
func list[T any](s *session, path, headings string, row func(T) []any) error {
	if _, err := s.parse(nil, "", 0, 0); err != nil {
		return err
	}
	var entries []T
	if err := s.call("GET", path, nil, &entries); err != nil {
		return err
	}
	if s.JSON {
		if entries == nil {
			entries = []T{}
		}
		return s.printJSON(entries)
	}
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	printf(w, "%s\n", strings.ReplaceAll(headings, " ", "\t"))
	for _, entry := range entries {
		var cells []string
		for _, cell := range row(entry) {
			text := fmt.Sprint(cell)
			if text == "" {
				text = "-"
			}
			cells = append(cells, text)
		}
		printf(w, "%s\n", strings.Join(cells, "\t"))
	}
	return fault.Wrap(fault.Internal, w.Flush(), "print")
}
