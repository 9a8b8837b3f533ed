package pages_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pages "github.com/verbenapier/verbenapier/docs/operators"
	"github.com/verbenapier/verbenapier/internal/alarm"
	"github.com/verbenapier/verbenapier/internal/cmdset"
	"github.com/verbenapier/verbenapier/internal/params"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/confd/strict"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// tableBlock matches the generated table of a page with its markers.
var tableBlock = regexp.MustCompile(`(?s)<!-- table -->\n.*<!-- end -->`)

// Guards against a page whose table lacks a setting, a key, an alarm or an error
// kind, or shows an outdated default. With UPDATE_PAGES=1 the test writes the tables
// to the pages instead of comparing them.
func TestTables(t *testing.T) {
	for name, table := range map[string]string{
		"settings": settingsTable(params.Table()), "gateway-settings": settingsTable(params.GatewayTable()),
		"configuration": configurationTable(), "alarms": alarmTable(), "errors": errorTable(),
	} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(name + ".md")
			require.NoError(t, err)
			require.Regexp(t, tableBlock, string(data))
			want := tableBlock.ReplaceAllLiteralString(string(data), "<!-- table -->\n"+table+"<!-- end -->")
			if os.Getenv("UPDATE_PAGES") == "1" {
				require.NoError(t, os.WriteFile(name+".md", []byte(want), 0o644))
				return
			}
			require.Equal(t, want, string(data))
		})
	}
}

// row returns a row of a Markdown table.
func row(cells ...any) string {
	var b strings.Builder
	for _, cell := range cells {
		b.WriteString("| " + strings.ReplaceAll(fmt.Sprint(cell), "|", `\|`) + " ")
	}
	return b.String() + "|\n"
}

// defaultCell returns the text for a default value in a table.
func defaultCell(required bool, value any) string {
	switch v := value.(type) {
	case nil:
		if required {
			return "required"
		}
		return "none"
	case time.Duration:
		return "`\"" + strict.FormatDuration(v) + "\"`"
	case confd.Duration:
		return "`\"" + strict.FormatDuration(v.Std()) + "\"`"
	case string, confd.Fencing:
		return fmt.Sprintf("`%q`", v)
	}
	return fmt.Sprintf("`%v`", value)
}

func settingsTable(entries []params.Entry) string {
	out := row("key", "default", "allowed", "meaning") + "|---|---|---|---|\n"
	for _, e := range entries {
		out += row("`"+e.Key+"`", defaultCell(e.Required, e.Default), e.Rule.Allowed, e.Meaning)
	}
	return out
}

func configurationTable() string {
	out := row("key", "default", "allowed", "meaning") + "|---|---|---|---|\n"
	for _, f := range confd.Fields() {
		out += row("`"+f.Path+"`", defaultCell(f.Required, f.Default), f.Rule.Allowed, f.Meaning)
	}
	return out
}

func alarmTable() string {
	none := func() uint64 { return 0 }
	conditions := alarm.Conditions(alarm.Sources{
		LateRequests: none, BrokenAnswers: none, FalseNotRun: none, RepeatedCalls: none, ClaimsRefused: none,
		Memory: func() []alarm.Memory { return nil }, Leaving: func() []alarm.LeavingHost { return nil },
		Shares: func() []alarm.Share { return nil }, Config: func() (uint64, uint64) { return 0, 0 },
		Drain: func() (time.Duration, time.Duration, bool) { return 0, 0, false },
	})
	out := row("alarm", "promise", "hold time", "what to do") + "|---|---|---|---|\n"
	for _, c := range conditions {
		hold := strict.FormatDuration(c.Hold)
		if c.Hold == 0 {
			hold = "none"
		}
		out += row("`"+c.Name+"`", fmt.Sprintf("%d: %s", c.Promise, c.Promise), hold, c.Action)
	}
	return out
}

func errorTable() string {
	out := row("code", "status", "run", "resend", "meaning") + "|---|---|---|---|---|\n"
	for _, kind := range fault.Kinds() {
		a := kind.Answer()
		resend := "no"
		if a.Resend {
			resend = "yes"
		}
		out += row("`"+a.Code+"`", a.Status, "`"+string(a.Run)+"`", resend, a.Meaning)
	}
	return out
}

// Guards against a command that commands.md does not list, a page that refers to a
// topic that does not exist, and a help topic without a page.
func TestTopics(t *testing.T) {
	commands, err := pages.Files.ReadFile("commands.md")
	require.NoError(t, err)
	for _, name := range cmdset.Names() {
		require.Regexp(t, "(?m)^\\| `"+name+"[` ]", string(commands))
	}
	require.Equal(t, []string{
		"alarms", "bad-configuration", "certificates", "commands", "configuration", "drain", "errors", "gateway-settings", "installing",
		"mass-replacement", "models", "partition", "platform-outage", "quarantine", "report", "settings",
	}, cmdset.Topics())
	topicReference := regexp.MustCompile("verbenapierctl help ([a-z-]+)")
	for _, topic := range cmdset.Topics() {
		data, err := pages.Files.ReadFile(topic + ".md")
		require.NoError(t, err)
		for _, m := range topicReference.FindAllStringSubmatch(string(data), -1) {
			require.Contains(t, cmdset.Topics(), m[1], topic)
		}
	}
}

// Guards against example settings that the daemon rejects, and against example
// documents that refer to a service or model they do not define.
func TestExamples(t *testing.T) {
	t.Setenv("NODE_KEY", "unused")
	s, err := params.Read("../../examples/settings.json")
	require.NoError(t, err)
	require.Equal(t, "10.20.1.11:8080", s.Advertise)
	for file, services := range map[string][]string{
		"lake-tana":       {"assistant", "mooring-desk"},
		"plaque-platform": {"drafting", "order-desk"},
	} {
		data, err := os.ReadFile("../../examples/" + file + ".json")
		require.NoError(t, err)
		doc, err := confd.Parse(file, data)
		require.NoError(t, err)
		require.Equal(t, confd.KindEngine, doc.Services[services[0]].Kind)
		require.Equal(t, confd.KindPlain, doc.Services[services[1]].Kind)
		require.LessOrEqual(t, doc.Services[services[0]].MaxTimeLimit.Std(), s.DrainTimeout)
	}
}
