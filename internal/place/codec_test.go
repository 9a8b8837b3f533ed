package place

import "encoding/json"

func mustJSON(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func convertJSON(from, into any) error { return json.Unmarshal(mustJSON(from), into) }
