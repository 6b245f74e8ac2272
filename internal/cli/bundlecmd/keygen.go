package bundlecmd

import (
	"crypto/rand"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/cli"
)

const (
	secretMode = os.FileMode(0o600)
	publicMode = os.FileMode(0o644)
	// groupAndOthersMode holds the permission bits that a secret key's file must not have.
	groupAndOthersMode = os.FileMode(0o077)
)

type keygenCmd struct {
	Key    string `arg:"" optional:"" default:"bundle.key" help:"File for the secret key."`
	Pubkey string `help:"File for the public key; the default is the secret key's name and \".pub\"." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (*keygenCmd) Help() string {
	return `Writes an Ed25519 key pair in minisign's format. The secret key signs bundles;
its file is readable by its owner only and belongs into no repository. The
public key goes into the settings of every daemon.

To change keys, let the daemons trust both public keys, sign with the new key
from then on, and remove the old public key last.`
}

// Run creates the key pair. It overwrites no file, and on failure neither file remains.
func (c *keygenCmd) Run(env *cli.Env) error {
	pub, key, err := bundle.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	keyText, err := key.MarshalText()
	if err != nil {
		return err
	}
	pubText, err := pub.MarshalText()
	if err != nil {
		return err
	}
	pubFile := c.pubkeyFile()
	if err := createFile(pubFile, append(pubText, '\n'), publicMode); err != nil {
		return err
	}
	if err := createFile(c.Key, append(keyText, '\n'), secretMode); err != nil {
		return errors.CombineErrors(err, os.Remove(pubFile))
	}
	fmt.Fprintf(env.Stdout, "wrote secret key %s and public key %s (key %s)\n", c.Key, pubFile, bundle.FormatKeyID(pub.ID()))
	return nil
}

func (c *keygenCmd) pubkeyFile() string {
	if c.Pubkey != "" {
		return c.Pubkey
	}
	return c.Key + ".pub"
}

// readKey reads a secret key, whose file only its owner may access.
func readKey(name string) (key bundle.PrivateKey, err error) {
	info, err := os.Stat(name)
	if err != nil {
		return key, cli.BadInput(err)
	}
	if info.Mode().Perm()&groupAndOthersMode != 0 {
		return key, cli.BadInput(errors.Newf("%s: others can read or write this secret key (mode %04o); set it to %04o",
			name, info.Mode().Perm(), secretMode))
	}
	text, err := readFile(name)
	if err != nil {
		return key, err
	}
	if err := key.UnmarshalText(text); err != nil {
		return key, cli.BadInput(errors.Newf("%s: not a secret key that \"bundle keygen\" wrote: %s", name, err))
	}
	return key, nil
}

func readPubkeys(names []string) ([]bundle.PublicKey, error) {
	keys := make([]bundle.PublicKey, len(names))
	for i, name := range names {
		text, err := readFile(name)
		if err != nil {
			return nil, err
		}
		if err := keys[i].UnmarshalText(text); err != nil {
			return nil, cli.BadInput(errors.Newf("%s: not a public key: %s", name, err))
		}
	}
	return keys, nil
}
