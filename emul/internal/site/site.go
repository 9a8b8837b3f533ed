// Package site makes deployments that nobody has seen from the file of a known one.
package site

import (
	"math/rand/v2"

	"github.com/pelletier/go-toml/v2"
)

// table is a decoded TOML table.
type table = map[string]any

// The ranges from which the factors of a deployment are drawn. Each value of the
// known deployment is multiplied by a factor.
var (
	engineCount  = span{0.6, 1.7}
	engineSpeed  = span{0.5, 2}
	engineSlots  = span{0.5, 2}
	engineMemory = span{0.7, 1.6}
	promptLength = span{0.5, 1.6}
	requestWorth = span{0.6, 1.7}
	requestShare = span{0.5, 1.8}
	goals        = span{0.8, 1.5}
	// utilisation is drawn relative to that of the known deployment, so that the
	// other factors do not leave the engines idle or hopelessly overloaded.
	utilisation = span{0.8, 1.15}
)

// span is a range of factors. Values are drawn evenly on a logarithmic scale.
type span struct{ low, high float64 }

// Vary returns the deployment of a file with other engines, prompts, worths and
// rates, drawn by the seed. The name becomes that of the deployment.
func Vary(file []byte, name string, seed uint64) ([]byte, error) {
	var d table
	if err := toml.Unmarshal(file, &d); err != nil {
		return nil, err
	}
	v := variation{random: rand.New(rand.NewPCG(seed, 1)), deployment: d}
	d["name"] = name
	v.apply()
	return toml.Marshal(d)
}

// variation changes one deployment.
type variation struct {
	random     *rand.Rand
	deployment table
}
