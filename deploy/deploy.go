// Package deploy embeds the JSON Schemas of the files that operators write, which the program checks.
package deploy

import _ "embed"

// Settings is the JSON Schema of the file that --settings names.
//
//go:embed settings.schema.json
var Settings []byte

// Gateway is the JSON Schema of the store's document "gateway".
//
//go:embed gateway.schema.json
var Gateway []byte
