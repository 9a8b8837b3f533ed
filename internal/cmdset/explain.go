package cmdset

import (
	"os"

	"github.com/verbenapier/verbenapier/internal/story"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// explanation is the output of explain in JSON.
type explanation struct {
	Request string           `json:"request"`
	Cause   string           `json:"cause"`
	Lines   []map[string]any `json:"lines"`
	Around  []map[string]any `json:"around"`
	Read    int              `json:"lines_read"`
	Bad     int              `json:"lines_unreadable"`
}

// maxLogs bounds the logs of one call.
const maxLogs = 1000

// explain prints what the logs of gateways say of a request.
func explain(s *session) error {
	args, err := s.parse(nil, "ID [LOG ...]", 1, maxLogs)
	if err != nil {
		return err
	}
	told := story.New(args[0])
	if len(args) == 1 {
		if err := told.Add(s.stdin); err != nil {
			return err
		}
	}
	for _, path := range args[1:] {
		if err := addLog(told, path); err != nil {
			return err
		}
	}
	if err := told.Tell(); err != nil {
		return err
	}
	if s.JSON {
		return s.printJSON(explanation{
			Request: told.ID, Cause: told.Cause(), Lines: fieldsOf(told.Lines), Around: fieldsOf(told.Around), Read: told.Read, Bad: told.Bad,
		})
	}
	printf(s.stdout, "%s\n\nThe request:\n", told.Cause())
	printLines(s, told.Lines)
	if len(told.Around) > 0 {
		printf(s.stdout, "\nAround it:\n")
		printLines(s, told.Around)
	}
	printf(s.stdout, "\n%d lines read, %d of them unreadable\n", told.Read, told.Bad)
	return nil
}

func addLog(told *story.Story, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fault.Wrap(fault.NotFound, err, "open a log")
	}
	defer func() { _ = file.Close() }()
	return told.Add(file)
}

func printLines(s *session, lines []story.Line) {
	for _, l := range lines {
		printf(s.stdout, "  %s  %-22s %-18s %s\n", l.Time.UTC().Format("15:04:05.000"), l.Node, l.Event, l.Details())
	}
}

func fieldsOf(lines []story.Line) []map[string]any {
	out := make([]map[string]any, 0, len(lines))
	for _, l := range lines {
		out = append(out, l.Fields)
	}
	return out
}
