// Package deploy holds the forms that operators' files have to keep: they lie beside the files, and in the program.
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
