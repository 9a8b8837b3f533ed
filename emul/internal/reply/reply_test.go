package reply_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/verbenapier/verbenapier/emul/internal/reply"
)

// Guards against a change of the text. Other implementations of the documented format
// would then take correct answers for wrong ones.
func TestTextIsStable(t *testing.T) {
	assert.Equal(t, "[0:72114329][1:8abf86e3]", reply.NewSource("hello there").Text(2))
	assert.NotEqual(t, reply.NewSource("a").Token(0), reply.NewSource("b").Token(0))
}

// Guards against an answer that starts again from its first token although the prompt
// already ends with a part of it.
func TestPromptWithAnswerContinues(t *testing.T) {
	for name, prompt := range map[string]string{
		"empty": "", "text": "hello", "ends in a digit": "chapter 1", "ends in a bracket": "[3:cafe]",
		"looks like a token": "x[1:00000000]",
	} {
		t.Run(name, func(t *testing.T) {
			whole := reply.NewSource(prompt).Text(120)
			for _, n := range []int{1, 10, 11, 100} {
				head := reply.NewSource(prompt).Text(n)
				rest := reply.NewSource(prompt + head).Text(120 - n)
				assert.Equal(t, whole, head+rest, "continued after %d", n)
			}
		})
	}
}

// Guards against tokens of another prompt's answer that are taken for the start of the
// prompt's own answer.
func TestForeignTokensAreText(t *testing.T) {
	foreign := reply.NewSource("other").Text(3)
	assert.True(t, strings.HasPrefix(reply.NewSource("mine"+foreign).Text(1), "[0:"))
}
