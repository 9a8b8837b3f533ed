package site

import (
	"maps"
	"math"
	"slices"
)

func (v *variation) draw(s span) float64 {
	return s.low * math.Pow(s.high/s.low, v.random.Float64())
}

// apply draws all factors, and scales the rates to the drawn utilisation.
func (v *variation) apply() {
	before := v.utilisation()
	for _, s := range tables(v.deployment, "services") {
		if model, ok := s["llm"].(table); ok {
			v.varyEngines(s, model)
		}
	}
	shares := map[string]float64{}
	for _, c := range tables(v.deployment, "classes") {
		if _, ok := c["stream"].(table); ok {
			v.varyClass(c)
			shares[c["name"].(string)] = v.draw(requestShare)
		}
	}
	v.scaleRates(func(class string) float64 {
		if f, ok := shares[class]; ok {
			return f
		}
		return 1
	})
	load := v.utilisation() / before / v.draw(utilisation)
	v.scaleRates(func(class string) float64 {
		if _, ok := shares[class]; ok {
			return 1 / load
		}
		return 1
	})
}

func (v *variation) varyEngines(service, model table) {
	count := v.draw(engineCount)
	for _, s := range tables(service, "servers") {
		s["count"] = max(1, int64(math.Round(number(s["count"])*count)))
	}
	slots := max(2, int64(math.Round(number(model["batch"])*v.draw(engineSlots))))
	model["batch"], service["slots"] = slots, slots
	for _, key := range []string{"step_ms", "prefill_tokens_per_ms", "pairs_ms_per_m"} {
		multiply(model, key, v.draw(engineSpeed))
	}
	model["kv_tokens"] = int64(number(model["kv_tokens"]) * v.draw(engineMemory))
}

func (v *variation) varyClass(class table) {
	worth := v.draw(requestWorth)
	multiply(class, "worth", worth)
	multiply(class, "late_worth", worth)
	multiply(class, "aim_ms", v.draw(goals))
	length := v.draw(promptLength)
	prompt := class["stream"].(table)["prompt_tokens"].(table)
	multiply(prompt, "mean", length)
	multiply(prompt, "max", length)
}

// scaleRates multiplies the rate of each class in all traffic, that of the days
// included.
func (v *variation) scaleRates(factor func(class string) float64) {
	traffic := tables(v.deployment, "traffic")
	for _, day := range tables(v.deployment, "day") {
		traffic = append(traffic, tables(day, "traffic")...)
	}
	for _, t := range traffic {
		mix := t["mix"].(table)
		before, after := 0.0, 0.0
		for _, class := range slices.Sorted(maps.Keys(mix)) {
			before += number(mix[class])
			multiply(mix, class, factor(class))
			after += number(mix[class])
		}
		multiply(t, "per_s", after/before)
	}
}

// utilisation returns the share of the engines' time that the ordinary traffic takes:
// the prefill, and the time of the slots divided by their number.
func (v *variation) utilisation() float64 {
	engines, model := 0.0, table{}
	for _, s := range tables(v.deployment, "services") {
		if m, ok := s["llm"].(table); ok {
			model = m
			for _, list := range tables(s, "servers") {
				engines += number(list["count"])
			}
		}
	}
	perSecond, total, busy := 0.0, 0.0, 0.0
	for _, t := range tables(v.deployment, "traffic") {
		perSecond += number(t["per_s"])
	}
	mix := tables(v.deployment, "traffic")[0]["mix"].(table)
	for _, class := range slices.Sorted(maps.Keys(mix)) {
		total += number(mix[class])
	}
	for _, c := range tables(v.deployment, "classes") {
		if stream, ok := c["stream"].(table); ok {
			busy += number(mix[c["name"].(string)]) / total * perSecond * engineSeconds(stream, model)
		}
	}
	return busy / engines
}

// engineSeconds returns the time of an engine that a request of a class takes.
func engineSeconds(stream, model table) float64 {
	prompt := stream["prompt_tokens"].(table)
	mean, spread := number(prompt["mean"]), number(prompt["spread"])
	pairs := mean * mean * (1 + spread*spread) / 2 / 1e6
	prefill := mean/number(model["prefill_tokens_per_ms"]) + pairs*number(model["pairs_ms_per_m"])
	tokens := number(stream["pieces"].(table)["mean"]) * number(model["stride"])
	return (prefill + tokens*number(model["step_ms"])/number(model["batch"])) / 1000
}

// tables returns the list of tables under a key.
func tables(t table, key string) []table {
	var list []table
	for _, item := range t[key].([]any) {
		list = append(list, item.(table))
	}
	return list
}

func multiply(t table, key string, factor float64) { t[key] = number(t[key]) * factor }

// number returns a value that the file may hold as an integer or as a fraction.
func number(value any) float64 {
	switch n := value.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	}
	return 0
}
