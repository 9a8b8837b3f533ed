package confd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"
)

const schemaFile = "../../docs/operators/configuration.schema.json"

// Guards against a published schema that differs from the code. With
// UPDATE_SCHEMA=1 the test writes the file first.
func TestSchemaFile(t *testing.T) {
	if os.Getenv("UPDATE_SCHEMA") == "1" {
		require.NoError(t, os.WriteFile(schemaFile, Schema(), 0o644))
	}
	data, err := os.ReadFile(schemaFile)
	require.NoError(t, err)
	require.Equal(t, string(Schema()), string(data))
}

// Guards against a schema that accepts what Parse refuses because of a type, a
// range or the kind of a service, and against one that refuses the examples.
func TestSchemaAgrees(t *testing.T) {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema()))
	require.NoError(t, err)
	compiler := jsonschema.NewCompiler()
	require.NoError(t, compiler.AddResource("schema.json", parsed))
	schema, err := compiler.Compile("schema.json")
	require.NoError(t, err)

	validate := func(text []byte) error {
		standard, err := hujson.Standardize(text)
		require.NoError(t, err)
		value, err := jsonschema.UnmarshalJSON(bytes.NewReader(standard))
		require.NoError(t, err)
		return schema.Validate(value)
	}
	files, err := filepath.Glob("../../examples/*-*.json")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		doc, err := Parse(file, data)
		require.NoError(t, err)
		require.NoError(t, validate(data), file)
		full, err := Format(doc)
		require.NoError(t, err)
		require.NoError(t, validate(full), file)
	}

	data, err := os.ReadFile(files[0])
	require.NoError(t, err)
	edits := map[string][2]string{
		"type":           {`"retry_ratio": 0.1`, `"retry_ratio": "0.1"`},
		"range":          {`"retry_ratio": 0.1`, `"retry_ratio": 1.5`},
		"unknown key":    {`"retry_ratio"`, `"retries"`},
		"kind":           {`"kind": "plain"`, `"kind": "simple"`},
		"kind missing":   {`"kind": "plain",`, ``},
		"other kind":     {`"kind": "plain"`, `"kind": "engine"`},
		"service name":   {`"assistant": {`, `"The assistant": {`},
		"duration":       {`"time_limit": "60s"`, `"time_limit": "60"`},
		"no models":      {`"models": ["lake-assistant"]`, `"models": []`},
		"repeated model": {`["lake-assistant"]`, `["lake-assistant", "lake-assistant"]`},
		"key hash":       {`sha256:`, `sha1:`},
		"weight":         {`"weight": 4`, `"weight": 0`},
		"method":         {`"POST"`, `"post"`},
		"path":           {`"/berths"`, `"berths"`},
	}
	for name, edit := range edits {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, string(data), edit[0])
			bad := []byte(strings.ReplaceAll(string(data), edit[0], edit[1]))
			require.Error(t, validate(bad), "schema")
			_, err := Parse("bad", bad)
			require.Error(t, err, "Parse")
		})
	}
}
