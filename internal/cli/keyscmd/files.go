package keyscmd

import (
	"io/fs"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/cli"
	"coveferry/internal/identity"
)

const (
	certSuffix = ".crt"
	keySuffix  = ".key"
	fileMode   = 0o600
	maxDays    = 36500
)

func validityFromDays(days int) (time.Duration, error) {
	if days < 1 || days > maxDays {
		return 0, cli.BadInput(errors.Newf("--days is %d; write 1 to %d", days, maxDays))
	}
	return time.Duration(days) * day, nil
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func readFile(name string) ([]byte, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, cli.BadInput(err)
	}
	return text, nil
}

// writePair writes OUT.crt and OUT.key. On failure neither remains.
func writePair(out string, pair identity.Pair) error {
	if err := createFile(out+keySuffix, pair.KeyPEM); err != nil {
		return err
	}
	if err := createFile(out+certSuffix, pair.CertPEM); err != nil {
		return errors.CombineErrors(err, os.Remove(out+keySuffix))
	}
	return nil
}

// createFile writes a new file; it fails if the file exists.
func createFile(name string, text []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if errors.Is(err, fs.ErrExist) {
		return cli.BadInput(errors.Newf("%s exists already and is not overwritten; choose another --out", name))
	}
	if err != nil {
		return cli.BadInput(err)
	}
	_, err = f.Write(text)
	return errors.CombineErrors(err, f.Close())
}
