package publish

import (
	"bytes"
	"fmt"
	"text/template"
	"text/template/parse"
)

// Limits of what the templates of one workspace may cost to render. They are
// counted, not timed, so that every daemon reaches the same verdict.
const (
	// maxSteps bounds the passes of loops and the uses of templates.
	maxSteps = 20_000
	// maxMadeBytes bounds what functions make, in bytes.
	maxMadeBytes = 8 << 20
	// maxArguments bounds the arguments and verbs of one function.
	maxArguments = 32
	// maxActions bounds the actions of one template, and so how deep they nest.
	maxActions = 10_000
	// maxBrackets bounds the objects and arrays of one document, and so how
	// deep they nest. The parser of JSON with comments has no limit of its own.
	maxBrackets = 20_000
	// stepFunction is the function that counts a step.
	stepFunction = "countStep"
)

// budget counts what one rendering costs.
type budget struct {
	steps int
	bytes int
}

// checkNesting refuses a document that may nest too deep for its parser.
func checkNesting(text []byte) error {
	brackets := bytes.Count(text, []byte("[")) + bytes.Count(text, []byte("{"))
	if brackets > maxBrackets {
		return fmt.Errorf("has %d objects and arrays, at most %d are allowed", brackets, maxBrackets)
	}
	return nil
}

// step counts one pass of a loop or one use of a template. It renders to
// nothing.
func (b *budget) step() (string, error) {
	b.steps++
	if b.steps > maxSteps {
		return "", fmt.Errorf("templates take more than %d steps", maxSteps)
	}
	return "", nil
}

// charge counts a text that a function made.
func (b *budget) charge(text string) (string, error) {
	b.bytes += len(text)
	if b.bytes > maxMadeBytes {
		return "", fmt.Errorf("functions make more than %d bytes", maxMadeBytes)
	}
	return text, nil
}

// countSteps makes every template of a set, and every loop in one, begin with
// a step. It is called once, after all templates are parsed.
func (b *budget) countSteps(set *template.Template) error {
	counter, err := template.New("counter").Funcs(b.functions()).Parse("{{" + stepFunction + "}}")
	if err != nil {
		return err
	}
	count := counter.Root.Nodes[0]
	for _, each := range set.Templates() {
		if each.Tree != nil {
			addSteps(each.Root, count)
			prepend(each.Root, count)
		}
	}
	return nil
}

// addSteps adds a step to the body of every loop under a node.
func addSteps(node parse.Node, count parse.Node) {
	switch typed := node.(type) {
	case *parse.ListNode:
		if typed == nil {
			return
		}
		for _, each := range typed.Nodes {
			addSteps(each, count)
		}
	case *parse.IfNode:
		addSteps(typed.List, count)
		addSteps(typed.ElseList, count)
	case *parse.WithNode:
		addSteps(typed.List, count)
		addSteps(typed.ElseList, count)
	case *parse.RangeNode:
		addSteps(typed.List, count)
		addSteps(typed.ElseList, count)
		prepend(typed.List, count)
	}
}

func prepend(list *parse.ListNode, node parse.Node) {
	list.Nodes = append([]parse.Node{node}, list.Nodes...)
}
