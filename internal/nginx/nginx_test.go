package nginx

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// formatTree returns a tree in one line, with a bar before each word.
func formatTree(list []*Directive) string {
	var b strings.Builder
	for _, d := range list {
		b.WriteString("|" + d.Name)
		for _, a := range d.Args {
			b.WriteString("|" + a.Text)
		}
		if d.Block {
			b.WriteString("{" + d.Raw + formatTree(d.Body) + "}")
		}
		b.WriteString(";")
	}
	return b.String()
}

func TestParse(t *testing.T) {
	for text, want := range map[string]string{
		"":                                "",
		"# only\n":                        "",
		"user  www www;":                  "|user|www|www;",
		"events { }":                      "|events{};",
		"a{b c;}d;":                       "|a{|b|c;};|d;",
		"a 'x y' \"z;{\";":                "|a|x y|z;{;",
		"a b#c #d\n;":                     "|a|b#c;",
		"set $x ${y}z;":                   "|set|$x|${y}z;",
		`location ~ \.php$ { }`:           `|location|~|\.php$|{};`,
		`location ~ "^/a{2,3}/\"" { }`:    `|location|~|^/a{2,3}/"{};`,
		`a \" "\t" '\\d\d' b\ c;`:         "|a|\"|\t|\\d\\d|b\\ c;",
		"if ($a = \"b\") { return 404; }": "",
		"a \"\";":                         "|a|;",
		"a_by_lua_block { x = \"}\" -- }\n y = {} } b;": "|a_by_lua_block{ x = \"}\" -- }\n y = {} };|b;",
	} {
		list, err := Parse("f", text)
		if strings.HasPrefix(text, "if ") {
			want = `|if|($a|=|b|){|return|404;};`
		}
		want = strings.Replace(want, "|{};", "{};", 1)
		if err != nil || formatTree(list) != want {
			t.Errorf("%q is parsed as %q, %v, want %q", text, formatTree(list), err, want)
		}
	}
	list, err := Parse("f", "a;\n\n  b {\n\tc 'd' e;\n}")
	if err != nil {
		t.Fatal(err)
	}
	if c := list[1].Body[0]; list[1].Pos.String() != "f:3:3" || c.Pos.String() != "f:4:2" || c.Args[1].Pos.String() != "f:4:8" || !c.Args[0].Quoted {
		t.Errorf("positions %v, %v, %v", list[1].Pos, c.Pos, c.Args)
	}
}

func TestErrorsHavePositions(t *testing.T) {
	deep := strings.Repeat("a {", MaxDepth+1) + strings.Repeat("}", MaxDepth+1)
	for text, want := range map[string]string{
		"a\nb":               "f:1:1: the directive is not ended",
		"a {\nb;":            "f:1:3: the block is not closed",
		"a;\n}":              "f:2:1: \"}\" without a block",
		"a \"b":              "f:1:3: a quote is not closed",
		"a 'b'c;":            "f:1:6: a space",
		";":                  "f:1:1: a directive has no name",
		"a { { } }":          "f:1:5: a directive has no name",
		"a { b }":            "f:1:5: the directive is not ended",
		"a \x00;":            "f:1:3: a control character",
		deep:                 "blocks are more than",
		"a" + "\\\x01" + ";": "f:1:3: a control character",
	} {
		_, err := Parse("f", text)
		var at *Error
		if !errors.As(err, &at) || !strings.Contains(err.Error(), want) {
			t.Errorf("%.40q: %v, want %q", text, err, want)
		}
	}
	if _, err := Parse("f", strings.Repeat(" ", MaxText+1)); !errors.Is(err, errTooLong) {
		t.Error(err)
	}
}

// writeFiles writes files, given by name and text, to a new folder and returns the folder.
func writeFiles(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestIncludes(t *testing.T) {
	dir := writeFiles(t, map[string]string{
		"nginx.conf":     "a;\nhttp { include conf.d/*.conf; include none/*.conf; }\ninclude last;",
		"conf.d/2.conf":  "two;",
		"conf.d/10.conf": "ten { include conf.d/deep; }",
		"conf.d/deep":    "deep;",
		"last":           "z;",
	})
	file, err := Load(filepath.Join(dir, "nginx.conf"))
	if err != nil {
		t.Fatal(err)
	}
	list := file.Directives
	if formatTree(list) != "|a;|http{|ten{|deep;};|two;};|z;" || len(file.Includes) != 4 {
		t.Fatalf("%q, %d includes", formatTree(list), len(file.Includes))
	}
	if d := list[1].Body[0].Body[0]; d.Pos.File != filepath.Join(dir, "conf.d/deep") {
		t.Error(d.Pos)
	}
	chain := map[string]string{}
	for n := range MaxIncludes + 2 {
		chain[fmt.Sprint("c", n)] = fmt.Sprintf("include c%d;", n+1)
	}
	chain[fmt.Sprint("c", MaxIncludes+2)] = ""
	for want, files := range map[string]map[string]string{
		"b:2:1: ":                     {"c0": "include b;", "b": "\ninclude c0;"},
		"the file includes itself":    {"c0": "include c0;"},
		"no such file":                {"c0": "include none;"},
		"include needs one":           {"c0": "include a b;"},
		"include needs one file":      {"c0": "include { }"},
		"b:1:1: the directive is not": {"c0": "x { include b; }", "b": "open"},
		"includes are more than":      chain,
		"syntax error in pattern":     {"c0": "include a[;"},
	} {
		if _, err := Load(filepath.Join(writeFiles(t, files), "c0")); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	long := writeFiles(t, map[string]string{"c0": "include long; include long;", "long": strings.Repeat(" ", MaxText/2+1)})
	if _, err := Load(filepath.Join(long, "c0")); !errors.Is(err, errTooLong) {
		t.Error(err)
	}
	if _, err := Load(t.TempDir()); err == nil || !strings.Contains(err.Error(), "not a regular file") {
		t.Error(err)
	}
}

// FuzzParse checks for any text that positions are within the text, and that a printed tree is parsed as the same tree.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		"http { server { listen 80; location ~* \\.(gif|jpg)$ { proxy_pass http://b/; } } }",
		"a 'b\\'c' \"d\\\"e\\\\\" ${f}g#h; # i\n", "a{", "}", "a \\\n;", "a \"\";", "a_by_lua_block { f('\\'}', {}) -- }\n }", "map $a $b { default \"x y\"; ~^c{2} d; }", "\\;", "a'b;",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if len(text) > 1<<16 {
			return
		}
		list, err := Parse("f", text)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "f:") {
				t.Error(err)
			}
			return
		}
		Walk(list, func(d *Directive) {
			if d.Pos.Line < 1 || d.Pos.Line > 1+strings.Count(text, "\n") || d.Pos.Column < 1 {
				t.Errorf("%q at %v", d.Name, d.Pos)
			}
		})
		var out bytes.Buffer
		if err := Print(&out, list); err != nil {
			t.Fatal(err)
		}
		again, err := Parse("f", out.String())
		if err != nil || formatTree(again) != formatTree(list) {
			t.Errorf("%q is printed as %q, which is parsed as %q, %v", text, out.String(), formatTree(again), err)
		}
	})
}
