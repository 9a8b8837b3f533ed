package params

import (
	"io"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/verbenapier/verbenapier/pkg/confd/strict"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// EnvPrefix starts the name of an environment variable that overrides a
	// setting: VERBENAPIER_TLS_KEY overrides tls.key.
	EnvPrefix = "VERBENAPIER_"
	// FileVariable is the environment variable with the path of the settings
	// file.
	FileVariable = EnvPrefix + "SETTINGS"
	// environment takes the place of the file name in problems with environment
	// variables.
	environment = "environment"
	// envScheme and fileScheme start a TLS setting that refers to an environment
	// variable or a file.
	envScheme  = "env:"
	fileScheme = "file:"
)

// Read loads the settings from a file, or from standard input when path is
// "-". If the file cannot be read, the error is NotFound; if the settings are
// refused, it is Invalid and wraps strict.Problems.
func Read(path string) (Settings, error) {
	name, data, err := readFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Load(name, data)
}

func readFile(path string) (name string, data []byte, err error) {
	if path == "-" {
		data, err = io.ReadAll(io.LimitReader(os.Stdin, strict.MaxSize+1))
		return "standard input", data, fault.Wrap(fault.Internal, err, "read settings from standard input")
	}
	data, err = os.ReadFile(path)
	return path, data, fault.Wrap(fault.NotFound, err, "read settings")
}

// Load returns the settings in data, with defaults for absent keys and
// overrides from the environment. The name appears in errors. Errors are
// Invalid and wrap strict.Problems, which lists every problem.
func Load(name string, data []byte) (Settings, error) {
	var s Settings
	source, err := decode(name, data, &s, Table())
	if err != nil {
		return Settings{}, err
	}
	overrideFromEnv(source, &s, Table(), &s.TLS.CA, &s.TLS.Certificate, &s.TLS.Key, &s.CallerTLS.Certificate, &s.CallerTLS.Key)
	check(source, &s, Table())
	completeAdvertised(source, s.advertisements())
	s.checkTLS(source)
	if err := source.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// decode sets the defaults of a table in the settings that into points to, then
// decodes data into them. Problems with single keys are kept in the source.
func decode(name string, data []byte, into any, table []Entry) (*strict.Source, error) {
	source, err := strict.Read(name, data)
	if err != nil {
		return nil, err
	}
	for _, e := range table {
		if e.Default != nil {
			field(into, e.Key).Set(reflect.ValueOf(e.Default))
		}
	}
	source.Decode(into, rulesOf(table))
	return source, nil
}

// check reports to the source the settings that break their rule in the table.
func check(source *strict.Source, settings any, table []Entry) {
	source.Check(settings, rulesOf(table))
}

func rulesOf(table []Entry) strict.Rules {
	rules := strict.Rules{}
	for _, e := range table {
		rules[e.Key] = e.Rule
	}
	return rules
}

// field returns the field of the settings whose path of JSON names is key.
func field(settings any, key string) reflect.Value {
	v := reflect.ValueOf(settings).Elem()
	for part := range strings.SplitSeq(key, ".") {
		for i := range v.NumField() {
			if v.Type().Field(i).Tag.Get("json") == part {
				v = v.Field(i)
				break
			}
		}
	}
	return v
}

// Variable returns the environment variable that overrides a key.
func Variable(key string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(key, ".", "_"))
}

// overrideFromEnv replaces settings by the environment variables of their keys.
// Any other variable with EnvPrefix is reported as a problem, except FileVariable
// and the variables that a setting in references names with "env:".
func overrideFromEnv(source *strict.Source, settings any, table []Entry, references ...*string) {
	known := map[string]Entry{}
	for _, e := range table {
		known[Variable(e.Key)] = e
	}
	var unknown []string
	for _, pair := range os.Environ() {
		variable, text, _ := strings.Cut(pair, "=")
		e, ok := known[variable]
		if !ok {
			if strings.HasPrefix(variable, EnvPrefix) {
				unknown = append(unknown, variable)
			}
			continue
		}
		target := field(settings, e.Key)
		parsed := reflect.New(target.Type()).Elem()
		if strict.SetText(text, parsed) != nil || (e.Rule.Check != nil && !e.Rule.Check(parsed)) {
			text = strconv.Quote(text)
			if e.Rule.Secret {
				text = strict.Hidden
			}
			source.AddFrom(environment, variable, text, e.Rule.Allowed)
			continue
		}
		target.Set(parsed)
	}
	for _, variable := range unknown {
		referenced := variable == FileVariable
		for _, reference := range references {
			referenced = referenced || *reference == envScheme+variable
		}
		if !referenced {
			source.AddFrom(environment, variable, "an unknown variable", "variables of settings, and those that a setting names with env:")
		}
	}
}

// advertisement is an advertised address, and the listening address from which a
// missing IP address or port is taken.
type advertisement struct {
	key, listenKey, listen string
	address                *string
}

func (s *Settings) advertisements() []advertisement {
	return []advertisement{
		{"advertise", "listen", s.Listen, &s.Advertise},
		{"peer_advertise", "peer_listen", s.PeerListen, &s.PeerAdvertise},
	}
}

// completeAdvertised sets an empty advertised address to the listening one, and
// adds the listening port to an advertised IP address without a port.
func completeAdvertised(source *strict.Source, list []advertisement) {
	for _, a := range list {
		listen, err := netip.ParseAddrPort(a.listen)
		if err != nil || source.HasProblem(a.key) || source.HasProblem(a.listenKey) {
			continue
		}
		if *a.address == "" && listen.Addr().IsUnspecified() {
			source.Report([]string{a.key}, nil, "an IP address, because "+a.listenKey+" names no single one")
			continue
		}
		if *a.address == "" {
			*a.address = listen.String()
		}
		if ip, err := netip.ParseAddr(*a.address); err == nil {
			*a.address = netip.AddrPortFrom(ip, listen.Port()).String()
		}
	}
}

// checkTLS checks the security settings that depend on each other: a caller
// certificate needs its key, Insecure needs loopback addresses, and without
// Insecure the settings of TLS are required.
func (s *Settings) checkTLS(source *strict.Source) {
	if (s.CallerTLS.Certificate == "") != (s.CallerTLS.Key == "") {
		missing := "key"
		if s.CallerTLS.Certificate == "" {
			missing = "certificate"
		}
		source.Report([]string{"caller_tls", missing}, nil, "a certificate together with its key, or neither")
	}
	if !s.Insecure {
		for key, value := range map[string]string{"ca": s.TLS.CA, "certificate": s.TLS.Certificate, "key": s.TLS.Key} {
			if value == "" && !source.HasProblem("tls", key) {
				source.Report([]string{"tls", key}, nil, tlsMaterial().Allowed+", unless insecure is true")
			}
		}
		return
	}
	for key, value := range map[string]string{
		"listen": s.Listen, "peer_listen": s.PeerListen, "admin_listen": s.AdminListen,
		"advertise": s.Advertise, "peer_advertise": s.PeerAdvertise,
	} {
		a, err := netip.ParseAddrPort(value)
		if err == nil && !a.Addr().IsLoopback() {
			source.Report([]string{key}, value, "a loopback address such as 127.0.0.1:8080, because insecure is true")
		}
	}
}
