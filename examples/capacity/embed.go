// Package capacity embeds the default inputs of the capacity model, so that
// `coveferryctl capacity` works without files.
package capacity

import _ "embed"

// The sizes, settings and slopes of docs/CAPACITY.md, as JSON with comments.
var (
	//go:embed size.jsonc
	Size []byte
	//go:embed today.jsonc
	Today []byte
	//go:embed settings.jsonc
	Settings []byte
	//go:embed slopes.jsonc
	Slopes []byte
)
