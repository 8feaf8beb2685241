package capacity

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"tamarackchute/journal"
	"tamarackchute/rules"
)

// rulesExperiments measure a rule set by its number of rules. Each rule names
// an organisation, a model and a length, as operators of many customers write
// them.
func rulesExperiments() []Experiment {
	sizes := []int{5, 6, 30, 100, 300}
	return []Experiment{
		{
			ID: "rules.set", Unit: Bytes, Per: "rule", Method: MethodHeap, Sizes: sizes,
			Measure: func(n int) (float64, error) {
				src := document(n)
				var err error
				size := heapOf(func() (set any) {
					set, err = rules.Parse(src, rules.Known{})
					return set
				})
				return size, err
			},
		},
		{
			ID: "rules.document", Unit: Bytes, Per: "rule", Method: MethodEncoded, Sizes: sizes,
			Measure: func(n int) (float64, error) { return float64(len(document(n))), nil },
		},
		{
			ID: "rules.publication", Unit: Bytes, Per: "rule", Method: MethodEncoded, Sizes: sizes,
			Measure: func(n int) (float64, error) {
				body, err := publication(document(n))
				if err != nil {
					return 0, err
				}
				return recordBytes(1, journal.KindRules, body)
			},
		},
		{
			ID: "rules.fold", Unit: Nanos, Per: "rule", Method: MethodCPU, Sizes: sizes,
			Measure: measureRulesFold,
		},
		{
			ID: "rules.match", Unit: Nanos, Per: "rule", Method: MethodCPU, Sizes: sizes,
			Measure: measureMatch,
		},
	}
}

// document is a rule set of n rules, the last of which matches any call of a model.
func document(n int) []byte {
	var b bytes.Buffer
	b.WriteString("{\n  \"rules\": [\n")
	for i := range n - 1 {
		fmt.Fprintf(&b, "    // %s has agreed on this with us.\n", organisation(i))
		fmt.Fprintf(&b, "    {\"name\": \"%s-short\", \"when\": \"organisation == \\\"%s\\\" && model == \\\"%s\\\" && prompt_tokens <= %d\",\n",
			organisation(i), organisation(i), model(i%targetSize.Models), 200+rand.IntN(2000))
		fmt.Fprintf(&b, "     \"then\": {\"pool\": \"%s\", \"priority\": %d, \"deadline_ms\": %d, \"retry\": \"repeatable\"}},\n",
			enginePool, rand.IntN(20), 1000*(5+rand.IntN(90)))
	}
	fmt.Fprintf(&b, "    {\"name\": \"rest\", \"when\": \"path startsWith \\\"/v1/\\\"\", \"then\": {\"pool\": \"%s\"}},\n  ],\n}\n", enginePool)
	return b.Bytes()
}

// publishLog takes one publication and keeps its body.
type publishLog struct {
	book *rules.Book
	at   *sequence
	body []byte
}

// Append implements journal.Writer by folding at once.
func (l *publishLog) Append(_ context.Context, e journal.Entry) (journal.Position, error) {
	l.body = e.Body
	p := l.at.place(e.Kind, e.ID, e.Body)
	l.book.Apply(p)
	return p.Position, nil
}

// Applied implements rules.Log.
func (l *publishLog) Applied() journal.Position {
	return journal.Position{Offset: l.at.next - 1}
}

// CaughtUp implements rules.Log.
func (l *publishLog) CaughtUp() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func newPublishLog() *publishLog {
	return &publishLog{book: rules.NewBook(rules.BookOptions{}), at: newSequence()}
}

// publish publishes a document over the version in force.
func (l *publishLog) publish(src []byte) error {
	p := rules.NewPublisher(l, l.book, rules.Known{})
	r, err := p.Publish(context.Background(), rules.Publish{
		Base: l.book.Current().Version, Document: src, Author: "operator", Note: "one rule changed",
	})
	if err == nil && r.Outcome != rules.OutcomeAccepted {
		err = eris.Errorf("publication: %s", r.Outcome)
	}
	return err
}

// publication is the body of a publication's entry.
func publication(src []byte) ([]byte, error) {
	l := newPublishLog()
	if err := l.publish(src); err != nil {
		return nil, err
	}
	return l.body, nil
}

// measureRulesFold is what a reader does with a publication: it decompresses,
// compiles and puts in force.
func measureRulesFold(n int) (float64, error) {
	body, err := publication(document(n))
	if err != nil {
		return 0, err
	}
	ns := cpuOf(func() {
		l := newPublishLog()
		l.book.Apply(l.at.place(journal.KindRules, starting, body))
		if l.book.Current().Version.IsZero() {
			err = eris.New("publication wasn't accepted")
		}
	})
	return ns, err
}

func measureMatch(n int) (float64, error) {
	set, err := rules.Parse(document(n), rules.Known{})
	if err != nil {
		return 0, err
	}
	r := rules.Request{
		Model: model(0), Path: "/v1/completions", Method: "POST", Organisation: "nobody",
		PromptTokens: promptTokens, OutputTokens: outputTokens, DataCentre: dataCentre(0),
	}
	if d := set.Match(r); d.Index != n-1 {
		return 0, eris.Errorf("rule %d matched", d.Index)
	}
	return cpuOf(func() { set.Match(r) }), nil
}
