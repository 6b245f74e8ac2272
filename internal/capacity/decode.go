package capacity

import (
	"github.com/cockroachdb/errors"

	"coveferry/internal/jsonc"
)

// DecodeSizes decodes a file of sizes. Errors are marked ErrBadInput and name
// the position of every fault.
func DecodeSizes(file string, src []byte) ([]Size, error) {
	var f SizeFile
	if err := decode(file, src, &f); err != nil {
		return nil, err
	}
	if len(f.Sizes) == 0 {
		return nil, errors.Mark(errors.Newf("%s: holds no sizes", file), ErrBadInput)
	}
	for _, s := range f.Sizes {
		if err := s.Check(); err != nil {
			return nil, errors.Wrap(err, file)
		}
	}
	return f.Sizes, nil
}

// DecodeSlopes decodes a file of slopes. Errors are like those of DecodeSizes.
func DecodeSlopes(file string, src []byte) (Slopes, error) {
	var s Slopes
	if err := decode(file, src, &s); err != nil {
		return Slopes{}, err
	}
	return s, errors.Wrap(s.Check(), file)
}

// DecodeSettings decodes a file of settings. Errors are like those of
// DecodeSizes.
func DecodeSettings(file string, src []byte) (Settings, error) {
	var s Settings
	if err := decode(file, src, &s); err != nil {
		return Settings{}, err
	}
	return s, errors.Wrap(s.Check(), file)
}

func decode(file string, src []byte, dst any) error {
	doc, err := jsonc.Parse(file, src)
	if err != nil {
		return errors.Mark(err, ErrBadInput)
	}
	if err := doc.Decode(dst).Err(); err != nil {
		return errors.Mark(err, ErrBadInput)
	}
	return nil
}
