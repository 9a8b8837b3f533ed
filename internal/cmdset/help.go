package cmdset

import (
	"fmt"
	"io/fs"
	"strings"

	pages "github.com/verbenapier/verbenapier/docs/operators"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const pageSuffix = ".md"

// help prints the page of a topic, or the list of topics.
func help(s *session) error {
	args, err := s.parse(nil, "[TOPIC]", 0, 1)
	if err != nil {
		return err
	}
	topics := Topics()
	if len(args) == 0 {
		return s.printResult(topics, "Topics, for verbenapierctl help TOPIC:\n  %s", strings.Join(topics, "\n  "))
	}
	data, err := fs.ReadFile(pages.Files, args[0]+pageSuffix)
	if err != nil {
		return usageErrorf("%q is no topic; known are: %s", args[0], strings.Join(topics, ", "))
	}
	if s.JSON {
		return s.printJSON(map[string]string{"topic": args[0], "text": string(data)})
	}
	_, err = fmt.Fprint(s.stdout, string(data))
	return fault.Wrap(fault.Internal, err, "print")
}

// Topics returns the help topics in alphabetical order.
func Topics() []string {
	names, _ := fs.Glob(pages.Files, "*"+pageSuffix)
	for i, name := range names {
		names[i] = strings.TrimSuffix(name, pageSuffix)
	}
	return names
}
