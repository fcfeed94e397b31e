package main

import (
	"fmt"
	"strings"
)

// fill fills a settings template as the provider does: {{a.b}}, {{a.0}}, {{#a}}, {{^a}},
// {{/a}}, {{.}} and {{,}}.
func fill(text string, fields, entry any, last bool) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, rest, found := strings.Cut(rest, "}}")
		if !found {
			return "", fmt.Errorf("a gap has no end")
		}
		text = rest
		switch name[0] {
		case ',':
			if !last {
				out.WriteByte(',')
			}
		case '#', '^':
			end := "{{/" + name[1:] + "}}"
			body, after, found := strings.Cut(text, end)
			if !found {
				return "", fmt.Errorf("%s has no end", name)
			}
			text = after
			part, err := section(body, fields, lookUp(fields, name[1:]), name[0] == '#')
			if err != nil {
				return "", err
			}
			out.WriteString(part)
		case '.':
			fmt.Fprint(&out, entry)
		default:
			if v := lookUp(fields, name); v != nil {
				fmt.Fprint(&out, v)
			}
		}
	}
}

// section fills the body of {{#a}} or, if wanted is false, of {{^a}}.
func section(body string, fields, value any, wanted bool) (string, error) {
	list, isList := value.([]any)
	given := value != nil && value != false && (!isList || len(list) > 0)
	if given != wanted {
		return "", nil
	}
	if !isList {
		return fill(body, fields, nil, true)
	}
	out := ""
	for i, one := range list {
		part, err := fill(body, fields, one, i == len(list)-1)
		if err != nil {
			return "", err
		}
		out += part
	}
	return out, nil
}

// lookUp returns the value of a name such as a.b or a.0; nil if there is none.
func lookUp(fields any, name string) any {
	for _, key := range strings.Split(name, ".") {
		switch v := fields.(type) {
		case map[string]any:
			fields = v[key]
		case []any:
			i := 0
			if _, err := fmt.Sscan(key, &i); err != nil || i >= len(v) {
				return nil
			}
			fields = v[i]
		default:
			return nil
		}
	}
	return fields
}
