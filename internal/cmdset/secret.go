package cmdset

import (
	"cmp"
	"errors"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/verbenapier/verbenapier/internal/certs"
	"github.com/verbenapier/verbenapier/internal/params"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	maxKeyBytes     = 4096
	privateFileMode = 0o600
	publicFileMode  = 0o644
)

// keyHash reads the key from standard input, because arguments appear in the
// list of processes and in the history of the shell.
func keyHash(s *session) error {
	if _, err := s.parse(nil, "< KEY", 0, 0); err != nil {
		return err
	}
	data, err := io.ReadAll(io.LimitReader(s.stdin, maxKeyBytes+1))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "read standard input")
	}
	key := strings.TrimRight(string(data), "\r\n")
	if key == "" || len(data) > maxKeyBytes || strings.ContainsAny(key, " \t\r\n") {
		return usageErrorf("standard input must hold one key of at most %d bytes without spaces", maxKeyBytes)
	}
	hash := confd.KeyHash(key)
	return s.printResult(map[string]string{"hash": hash}, "%s", hash)
}

// The default validity of certificates. An authority must outlive the
// certificates that it signs.
const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	signedValidity    = 90 * 24 * time.Hour
)

// certOptions are the flags of all cert commands.
type certOptions struct {
	Name     string        `long:"name" required:"true" description:"common name"`
	Validity time.Duration `long:"validity" description:"how long the certificate is valid (default: 87600h for an authority, 2160h for others)"`
	Out      string        `long:"out" default:"." description:"directory for NAME.pem and NAME-key.pem"`
}

// signOptions are the flags of the commands that sign a certificate with an
// authority.
type signOptions struct {
	certOptions
	Authority    string `long:"authority" required:"true" description:"certificate of the authority: a path, file:PATH, env:NAME or PEM text"`
	AuthorityKey string `long:"authority-key" required:"true" description:"key of the authority, in the same forms"`
}

// authority reads the certificate and the key of the authority.
func (o signOptions) authority() (certs.Pair, error) {
	certificate, err := params.Resolve(withScheme(o.Authority))
	if err != nil {
		return certs.Pair{}, err
	}
	key, err := params.Resolve(withScheme(o.AuthorityKey))
	return certs.Pair{Certificate: certificate, Key: key}, err
}

func certAuthority(s *session) error {
	var o certOptions
	if _, err := s.parse(&o, "--name NAME", 0, 0); err != nil {
		return err
	}
	pair, err := certs.Authority(o.Name, cmp.Or(o.Validity, authorityValidity))
	return s.savePair(o, pair, err)
}

func certNode(s *session) error {
	var o struct {
		signOptions
		IP []string `long:"ip" required:"true" description:"address of the host; may be repeated"`
	}
	if _, err := s.parse(&o, "--name NAME --ip ADDRESS --authority FILE --authority-key FILE", 0, 0); err != nil {
		return err
	}
	var addresses []net.IP
	for _, text := range o.IP {
		ip := net.ParseIP(text)
		if ip == nil {
			return usageErrorf("--ip %q is no IP address", text)
		}
		addresses = append(addresses, ip)
	}
	authority, err := o.authority()
	if err != nil {
		return err
	}
	pair, err := certs.Node(authority, o.Name, addresses, cmp.Or(o.Validity, signedValidity))
	return s.savePair(o.certOptions, pair, err)
}

func certOperator(s *session) error {
	var o signOptions
	if _, err := s.parse(&o, "--name NAME --authority FILE --authority-key FILE", 0, 0); err != nil {
		return err
	}
	authority, err := o.authority()
	if err != nil {
		return err
	}
	pair, err := certs.Operator(authority, o.Name, cmp.Or(o.Validity, signedValidity))
	return s.savePair(o.certOptions, pair, err)
}

// savePair writes a certificate and its key to two new files. It overwrites no
// file. The parameter err is the error of creating the pair; if it is not nil,
// savePair returns it and writes nothing.
func (s *session) savePair(o certOptions, pair certs.Pair, err error) error {
	if err != nil {
		return err
	}
	if o.Name != filepath.Base(o.Name) || strings.HasPrefix(o.Name, ".") {
		return usageErrorf("--name %q cannot name a file", o.Name)
	}
	base := filepath.Join(o.Out, o.Name)
	files := map[string]string{"certificate": base + ".pem", "key": base + "-key.pem"}
	if err := createFile(files["key"], pair.Key, privateFileMode); err != nil {
		return err
	}
	if err := createFile(files["certificate"], pair.Certificate, publicFileMode); err != nil {
		return err
	}
	return s.printResult(files, "%s\n%s", files["certificate"], files["key"])
}

// createFile writes a new file. If the file exists, the error is Conflict.
func createFile(path string, data []byte, mode fs.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if errors.Is(err, fs.ErrExist) {
		return fault.New(fault.Conflict, "%s exists and is kept", path)
	}
	if err != nil {
		return fault.Wrap(fault.Internal, err, "write the file")
	}
	_, err = f.Write(data)
	return fault.Wrap(fault.Internal, errors.Join(err, f.Close()), "write the file")
}
