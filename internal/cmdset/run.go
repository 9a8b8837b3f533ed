// Package cmdset holds the commands of verbenapierctl.
package cmdset

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/verbenapier/verbenapier/internal/admin"
	"github.com/verbenapier/verbenapier/pkg/confd/strict"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// The exit codes of verbenapierctl.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitConflict    = 4
	ExitUnreachable = 5
	ExitDenied      = 6
	ExitNotFound    = 7
)

// commands maps the name of a command, of one or two words, to its function.
var commands map[string]func(s *session) error

func init() {
	commands = map[string]func(s *session) error{
		"config check":      configCheck,
		"config diff":       configDiff,
		"config apply":      configApply,
		"config get":        configGet,
		"config history":    configHistory,
		"config rollback":   configRollback,
		"node list":         nodeList,
		"node drain":        nodeDrain,
		"node dump":         nodeDump,
		"node health":       nodeHealth,
		"cell list":         cellList,
		"engine list":       engineList,
		"organisation list": organisationList,
		"request list":      requestList,
		"alarm list":        alarmList,
		"quarantine list":   quarantineList,
		"quarantine lift":   quarantineLift,
		"key hash":          keyHash,
		"cert authority":    certAuthority,
		"cert node":         certNode,
		"cert operator":     certOperator,
		"explain":           explain,
		"report":            report,
		"help":              help,
	}
}

// Names returns the names of all commands in order.
func Names() []string { return slices.Sorted(maps.Keys(commands)) }

// commonOptions are the flags of every command.
type commonOptions struct {
	Address     string        `long:"address" env:"VERBENAPIERCTL_ADDRESS" default:"127.0.0.1:8082" description:"address and port of a node's operators' interface"`
	CA          string        `long:"ca" env:"VERBENAPIERCTL_CA" description:"certificate authority: a path, file:PATH, env:NAME or PEM text"`
	Certificate string        `long:"certificate" env:"VERBENAPIERCTL_CERTIFICATE" description:"operator's certificate, in the same forms"`
	Key         string        `long:"key" env:"VERBENAPIERCTL_KEY" description:"operator's private key, in the same forms"`
	Insecure    bool          `long:"insecure" description:"use plain HTTP; only for loopback addresses"`
	Timeout     time.Duration `long:"timeout" default:"30s" description:"time limit of the command"`
	JSON        bool          `long:"json" description:"print JSON"`
}

// session is one run of verbenapierctl.
type session struct {
	commonOptions
	ctx context.Context
	// command is the name of the command, args what follows it.
	command string
	args    []string
	stdin   io.Reader
	stdout  io.Writer
	stderr  io.Writer
}

// usageError is an error in the command line.
type usageError string

func (e usageError) Error() string { return string(e) }

func usageErrorf(format string, args ...any) error {
	return usageError(fmt.Sprintf(format, args...))
}

func isUsageError(err error) bool {
	var usageErr usageError
	var flagErr *flags.Error
	return errors.As(err, &usageErr) || errors.As(err, &flagErr)
}

// printf prints text to standard output or standard error. A failed write is
// ignored, because there is nowhere else to report it.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

// Run runs the command line in args, which does not include the program name, and
// returns the exit code.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	s := &session{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr}
	err := s.run(args)
	if err == nil {
		return ExitOK
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		printf(stdout, "%s\n", flagErr.Message)
		return ExitOK
	}
	s.printError(err)
	return exitCode(err)
}

// run reads the flags before the command, finds the command and calls its
// function, which reads the remaining arguments.
func (s *session) run(args []string) error {
	rest, err := flags.NewParser(&s.commonOptions, flags.HelpFlag|flags.PassDoubleDash|flags.PassAfterNonOption).ParseArgs(args)
	if err != nil {
		return err
	}
	for words := min(2, len(rest)); words > 0; words-- {
		s.command = strings.Join(rest[:words], " ")
		if fn, ok := commands[s.command]; ok {
			s.args = rest[words:]
			return fn(s)
		}
	}
	if len(rest) == 0 {
		return usageErrorf("a command is missing; known are: %s", strings.Join(Names(), ", "))
	}
	return usageErrorf("%q is no command; known are: %s", strings.Join(rest[:min(2, len(rest))], " "), strings.Join(Names(), ", "))
}

// parse reads the flags and arguments after the command. It stores flags in the
// common options and in options, which may be nil, and returns the arguments,
// whose number must be from minArgs to maxArgs. The string arguments describes
// them in the usage text.
func (s *session) parse(options any, arguments string, minArgs, maxArgs int) ([]string, error) {
	parser := flags.NewNamedParser("verbenapierctl "+s.command, flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = strings.TrimSpace("[options] " + arguments)
	// The environment and the flags before the command have already been read
	// by run. Flags after the command override these values, but defaults must
	// not.
	current := s.commonOptions
	if _, err := parser.AddGroup("Common options", "", &s.commonOptions); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "flags")
	}
	if options != nil {
		if _, err := parser.AddGroup("Options of the command", "", options); err != nil {
			return nil, fault.Wrap(fault.Internal, err, "flags")
		}
	}
	setDefaults(parser, current)
	args, err := parser.ParseArgs(s.args)
	if err != nil {
		return nil, err
	}
	if len(args) < minArgs || len(args) > maxArgs {
		return nil, usageErrorf("verbenapierctl %s %s", s.command, strings.TrimSpace("[options] "+arguments))
	}
	return args, nil
}

// setDefaults makes the values that have already been read the defaults of the
// common options.
func setDefaults(parser *flags.Parser, options commonOptions) {
	for name, value := range map[string]string{
		"address": options.Address, "ca": options.CA, "certificate": options.Certificate, "key": options.Key, "timeout": options.Timeout.String(),
	} {
		option := parser.FindOptionByLongName(name)
		option.EnvDefaultKey = ""
		option.Default = nil
		if value != "" {
			option.Default = []string{value}
		}
	}
}

// printError prints an error to standard error, with --json in the form in which
// a node reports errors.
func (s *session) printError(err error) {
	body := admin.ErrorBody{Code: fault.KindOf(err).String(), Message: err.Error(), Problems: strict.ProblemsOf(err)}
	var remote *remoteError
	switch {
	case errors.As(err, &remote):
		body = remote.body
	case isUsageError(err):
		body.Code = "usage"
	case len(body.Problems) > 0:
		body.Message = fault.MessageOf(err)
	}
	if s.JSON {
		data, _ := json.Marshal(admin.ErrorAnswer{Error: body})
		printf(s.stderr, "%s\n", data)
		return
	}
	printf(s.stderr, "verbenapierctl: %s\n", body.Message)
	for _, p := range body.Problems {
		printf(s.stderr, "  %s\n", p)
	}
	if body.Revision > 0 {
		printf(s.stderr, "revision %d is the newest; changed since the base:\n", body.Revision)
		for _, c := range body.Changes {
			printf(s.stderr, "  %s\n", c)
		}
	}
}

func exitCode(err error) int {
	if isUsageError(err) {
		return ExitUsage
	}
	switch kind := fault.KindOf(err); kind {
	case fault.Invalid, fault.TooLarge:
		return ExitRefused
	case fault.Conflict:
		return ExitConflict
	case fault.Unreachable, fault.PlatformDown, fault.Timeout:
		return ExitUnreachable
	case fault.Unauthenticated, fault.Forbidden:
		return ExitDenied
	case fault.NotFound:
		return ExitNotFound
	}
	return ExitFailed
}
