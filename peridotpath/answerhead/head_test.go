package answerhead_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/answerhead"
)

func ExampleHead_ProvesNotRun() {
	head := answerhead.Head{Status: 503, Echo: answerhead.EchoOwn, StatesNotRun: true}
	fmt.Println(head.ProvesNotRun())
	head.IsSigned = true
	fmt.Println(head.ProvesNotRun())
	// Output:
	// true
	// false
}

// TestHeads guards against a request that runs twice, and a caller that is told "not run" of what
// has run, since one wrong byte made a refusal of an answer.
func TestHeads(t *testing.T) {
	type proof struct{ notRun, isOther, isUnproven, answers, isContradictory bool }
	const own, none, other = answerhead.EchoOwn, answerhead.EchoNone, answerhead.EchoOther
	for name, test := range map[string]struct {
		head answerhead.Head
		want proof
	}{
		"success":                                  {answerhead.Head{Status: 200, IsSigned: true, Echo: own}, proof{answers: true}},
		"success without a signature":              {answerhead.Head{Status: 200, Echo: own}, proof{}},
		"success of another request":               {answerhead.Head{Status: 200, IsSigned: true, Echo: other}, proof{}},
		"failure after the run":                    {answerhead.Head{Status: 500, IsSigned: true, Echo: own}, proof{answers: true}},
		"failure without a signature":              {answerhead.Head{Status: 500, Echo: own}, proof{answers: true}},
		"success that denies the run":              {answerhead.Head{Status: 200, IsSigned: true, Echo: own, StatesNotRun: true}, proof{isContradictory: true}},
		"success that denies the run, unsigned":    {answerhead.Head{Status: 200, Echo: own, StatesNotRun: true}, proof{isContradictory: true}},
		"failure after the run that denies it":     {answerhead.Head{Status: 500, IsSigned: true, Echo: own, StatesNotRun: true}, proof{isContradictory: true}},
		"full":                                     {answerhead.Head{Status: 503, Echo: own, StatesNotRun: true}, proof{notRun: true, answers: true}},
		"full, without the id":                     {answerhead.Head{Status: 503, StatesNotRun: true}, proof{notRun: true}},
		"full, of another request":                 {answerhead.Head{Status: 503, Echo: other, StatesNotRun: true}, proof{isUnproven: true, isContradictory: true}},
		"429":                                      {answerhead.Head{Status: 429, Echo: own, StatesNotRun: true}, proof{notRun: true, answers: true}},
		"400 without the id":                       {answerhead.Head{Status: 400, StatesNotRun: true}, proof{notRun: true}},
		"503 after the run":                        {answerhead.Head{Status: 503, IsSigned: true, Echo: own}, proof{isUnproven: true, isContradictory: true}},
		"429 after the run":                        {answerhead.Head{Status: 429, IsSigned: true, Echo: own}, proof{isUnproven: true, isContradictory: true}},
		"408 after the run":                        {answerhead.Head{Status: 408, IsSigned: true, Echo: own}, proof{isUnproven: true, isContradictory: true}},
		"503 with neither signature nor statement": {answerhead.Head{Status: 503, Echo: own}, proof{isUnproven: true, answers: true}},
		"503 without anything":                     {answerhead.Head{Status: 503}, proof{isUnproven: true}},
		"another endpoint":                         {answerhead.Head{Status: 421, Echo: own, StatesNotRun: true, Endpoint: "a", Named: "b"}, proof{notRun: true, isOther: true}},
		"another endpoint, without the id":         {answerhead.Head{Status: 421, StatesNotRun: true, Endpoint: "a", Named: "b"}, proof{notRun: true, isOther: true}},
		"another endpoint, by its name":            {answerhead.Head{Status: 421, Echo: own, Endpoint: "a", Named: "b"}, proof{notRun: true, isOther: true}},
		"421 that names no endpoint":               {answerhead.Head{Status: 421, Echo: own, StatesNotRun: true, Endpoint: "a"}, proof{notRun: true, answers: true}},
		"421 of the endpoint itself":               {answerhead.Head{Status: 421, Echo: own, StatesNotRun: true, Endpoint: "a", Named: "a"}, proof{notRun: true, answers: true}},
		"421 of another request":                   {answerhead.Head{Status: 421, Echo: other, Endpoint: "a", Named: "b"}, proof{isUnproven: true}},
		"421 without anything":                     {answerhead.Head{Status: 421, Endpoint: "a"}, proof{notRun: true, isOther: true}},
		"421 after the run":                        {answerhead.Head{Status: 421, IsSigned: true, Echo: own, Endpoint: "a"}, proof{isUnproven: true, isContradictory: true}},
		"421 after the run, without the id":        {answerhead.Head{Status: 421, IsSigned: true, Endpoint: "a"}, proof{isUnproven: true, isContradictory: true}},
		"421 after the run, signature misspelled":  {answerhead.Head{Status: 421, Echo: own, Endpoint: "a"}, proof{isUnproven: true, answers: true}},
		"421 after the run that names the other":   {answerhead.Head{Status: 421, IsSigned: true, Echo: own, Endpoint: "a", Named: "b"}, proof{isUnproven: true, isContradictory: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			head := test.head
			is.Equal(proof{head.ProvesNotRun(), head.IsFromOtherEndpoint(), head.IsUnprovenRefusal(), head.AnswersRequest(), head.IsContradictory()}, test.want)
		})
	}
}

// TestHeadsAgree guards against a head that counts as two things at once.
func TestHeadsAgree(t *testing.T) {
	for status := 200; status < 600; status++ {
		for _, head := range headsOf(status) {
			notRun := head.ProvesNotRun()
			switch {
			case notRun && (head.IsUnprovenRefusal() || head.IsContradictory() || head.IsSigned):
				t.Fatalf("%+v proves that the request has not run, and is in doubt", head)
			case head.IsFromOtherEndpoint() && (!notRun || head.AnswersRequest()):
				t.Fatalf("%+v is of another endpoint, and answers the request or may be of a run", head)
			case head.AnswersRequest() && status < 300 && (notRun || !head.IsSigned):
				t.Fatalf("%+v is a success without a run", head)
			}
		}
	}
}

// headsOf returns a head of each kind with the status.
func headsOf(status int) []answerhead.Head {
	flags := []bool{false, true}
	var heads []answerhead.Head
	for _, echo := range []answerhead.Echo{answerhead.EchoNone, answerhead.EchoOwn, answerhead.EchoOther} {
		for _, isSigned := range flags {
			for _, statesNotRun := range flags {
				for _, named := range []peridotpath.EndpointID{"", "a", "b"} {
					heads = append(heads, answerhead.Head{Status: status, IsSigned: isSigned, Echo: echo, StatesNotRun: statesNotRun, Endpoint: "a", Named: named})
				}
			}
		}
	}
	return heads
}
