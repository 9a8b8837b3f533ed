package cmdset

import (
	"os"

	"github.com/verbenapier/verbenapier/internal/story"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// explanation is the output of the command explain with --json.
type explanation struct {
	Request    string           `json:"request"`
	Cause      string           `json:"cause"`
	Lines      []map[string]any `json:"lines"`
	Related    []map[string]any `json:"around"`
	LinesRead  int              `json:"lines_read"`
	Unreadable int              `json:"lines_unreadable"`
}

// maxExplainArgs limits the arguments of the command: the id of the request and
// the log files.
const maxExplainArgs = 1000

// explain prints what the logs of gateways show about a request: the cause of its
// outcome, the log lines about the request, and those of about the same time that
// concern its hosts and engines.
func explain(s *session) error {
	args, err := s.parse(nil, "ID [LOG ...]", 1, maxExplainArgs)
	if err != nil {
		return err
	}
	trace := story.New(args[0])
	if len(args) == 1 {
		if err := trace.Add(s.stdin); err != nil {
			return err
		}
	}
	for _, path := range args[1:] {
		if err := addLog(trace, path); err != nil {
			return err
		}
	}
	if err := trace.Assemble(); err != nil {
		return err
	}
	if s.JSON {
		return s.printJSON(explanation{
			Request: trace.ID, Cause: trace.Cause(), Lines: fieldsOf(trace.Lines), Related: fieldsOf(trace.Related), LinesRead: trace.LinesRead, Unreadable: trace.LinesUnreadable,
		})
	}
	printf(s.stdout, "%s\n\nThe request:\n", trace.Cause())
	printLines(s, trace.Lines)
	if len(trace.Related) > 0 {
		printf(s.stdout, "\nAround it:\n")
		printLines(s, trace.Related)
	}
	printf(s.stdout, "\n%d lines read, %d of them unreadable\n", trace.LinesRead, trace.LinesUnreadable)
	return nil
}

// addLog adds the lines of the log in a file.
func addLog(trace *story.Trace, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fault.Wrap(fault.NotFound, err, "open a log")
	}
	defer func() { _ = file.Close() }()
	return trace.Add(file)
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
