package main

import (
	"fmt"
	"sort"
	"strings"
)

// render fills a settings template in the form that DEPLOY.md tells: values, sections,
// negated sections and commas.
func render(text string, fields map[string]any) string {
	return renderIn(text, []any{fields})
}

func renderIn(text string, scopes []any) string {
	var out strings.Builder
	for {
		before, rest, ok := strings.Cut(text, "{{")
		out.WriteString(before)
		if !ok {
			return out.String()
		}
		tag, after, _ := strings.Cut(rest, "}}")
		text = after
		if tag[0] != '#' && tag[0] != '^' {
			out.WriteString(format(lookup(tag, scopes)))
			continue
		}
		name := tag[1:]
		body, end, _ := strings.Cut(text, "{{/"+name+"}}")
		text = end
		out.WriteString(section(tag[0] == '#', lookup(name, scopes), body, scopes))
	}
}

func section(positive bool, v any, body string, scopes []any) string {
	given := v != nil && v != false && v != ""
	if !positive {
		if given {
			return ""
		}
		return renderIn(body, scopes)
	}
	list, isList := v.([]string)
	if !isList {
		if !given {
			return ""
		}
		return renderIn(body, scopes)
	}
	var out strings.Builder
	for i, entry := range list {
		comma := ","
		if i == len(list)-1 {
			comma = ""
		}
		text := strings.ReplaceAll(body, "{{,}}", comma)
		out.WriteString(renderIn(text, append(append([]any{}, scopes...), entry)))
	}
	return out.String()
}

func lookup(path string, scopes []any) any {
	if path == "." {
		return scopes[len(scopes)-1]
	}
	fields, _ := scopes[0].(map[string]any)
	var v any = fields
	for _, part := range strings.Split(path, ".") {
		switch at := v.(type) {
		case map[string]any:
			v = at[part]
		case []int:
			v = at[int(part[0]-'0')]
		default:
			return nil
		}
	}
	return v
}

func format(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(v, ",")
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		return strings.Join(keys, ",")
	}
	return fmt.Sprint(v)
}
