package publish

import (
	"bytes"
	"fmt"
	"text/template"
	"text/template/parse"
)

// Limits on the cost of rendering the templates of one workspace. They count
// operations instead of time, so that every daemon reaches the same verdict.
const (
	// maxSteps limits loop iterations and template invocations.
	maxSteps = 20_000
	// maxFunctionBytes limits the output of template functions, in bytes.
	maxFunctionBytes = 8 << 20
	// maxArguments limits the arguments and formatting verbs of one function call.
	maxArguments = 32
	// maxActions limits the actions of one template, and with them the nesting depth.
	maxActions = 10_000
	// maxJSONContainers limits the objects and arrays of one document, and with
	// them the nesting depth. The parser of JSON with comments has no limit of its
	// own.
	maxJSONContainers = 20_000
	// stepFunction is the name of the template function that counts a step.
	stepFunction = "countStep"
)

// budget counts the cost of one rendering against the limits.
type budget struct {
	steps       int
	outputBytes int
}

// checkNesting refuses a document that may be nested too deeply for its parser.
func checkNesting(text []byte) error {
	containers := bytes.Count(text, []byte("[")) + bytes.Count(text, []byte("{"))
	if containers > maxJSONContainers {
		return fmt.Errorf("has %d objects and arrays, at most %d are allowed", containers, maxJSONContainers)
	}
	return nil
}

// step counts one loop iteration or template invocation. It renders to the empty
// string.
func (b *budget) step() (string, error) {
	b.steps++
	if b.steps > maxSteps {
		return "", fmt.Errorf("templates take more than %d steps", maxSteps)
	}
	return "", nil
}

// addOutput counts the output of a template function and returns it.
func (b *budget) addOutput(text string) (string, error) {
	b.outputBytes += len(text)
	if b.outputBytes > maxFunctionBytes {
		return "", fmt.Errorf("functions make more than %d bytes", maxFunctionBytes)
	}
	return text, nil
}

// addStepCounters inserts a call of stepFunction at the start of every template
// and of every loop body. It must be called once, after all templates are parsed.
func (b *budget) addStepCounters(set *template.Template) error {
	counter, err := template.New("counter").Funcs(b.functions()).Parse("{{" + stepFunction + "}}")
	if err != nil {
		return err
	}
	step := counter.Root.Nodes[0]
	for _, tmpl := range set.Templates() {
		if tmpl.Tree != nil {
			addLoopSteps(tmpl.Root, step)
			prepend(tmpl.Root, step)
		}
	}
	return nil
}

// addLoopSteps inserts a step at the start of every loop body below a node.
func addLoopSteps(node parse.Node, step parse.Node) {
	switch typed := node.(type) {
	case *parse.ListNode:
		if typed == nil {
			return
		}
		for _, child := range typed.Nodes {
			addLoopSteps(child, step)
		}
	case *parse.IfNode:
		addLoopSteps(typed.List, step)
		addLoopSteps(typed.ElseList, step)
	case *parse.WithNode:
		addLoopSteps(typed.List, step)
		addLoopSteps(typed.ElseList, step)
	case *parse.RangeNode:
		addLoopSteps(typed.List, step)
		addLoopSteps(typed.ElseList, step)
		prepend(typed.List, step)
	}
}

func prepend(list *parse.ListNode, node parse.Node) {
	list.Nodes = append([]parse.Node{node}, list.Nodes...)
}
