package faultdrill

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	// Registers the SVG format.
	_ "gonum.org/v1/plot/vg/vgsvg"
)

// Report writes the results of drills as one HTML file, with plots and the results in JSON.
func Report(w io.Writer, results []*Result) error {
	type page struct {
		*Result
		Plots []template.HTML
		JSON  string
	}
	var pages []page
	for _, r := range results {
		p := page{Result: r}
		rate, err := drawCurves(r, "tries a second", map[string]func(i int) float64{
			"asked":           func(i int) float64 { return float64(r.Seconds[i].Tries) },
			"served in time":  func(i int) float64 { return float64(r.Seconds[i].InTime) },
			"refused":         func(i int) float64 { return float64(r.Seconds[i].Refused) },
			"failed and left": func(i int) float64 { return float64(r.Seconds[i].Failed) },
		}, []string{"asked", "served in time", "refused", "failed and left"})
		if err != nil {
			return err
		}
		weight, err := drawCurves(r, "worth a second", map[string]func(i int) float64{
			"asked":  func(i int) float64 { return r.Seconds[i].Worth },
			"earned": func(i int) float64 { return r.Seconds[i].Earned },
		}, []string{"asked", "earned"})
		if err != nil {
			return err
		}
		p.Plots = []template.HTML{rate, weight}
		text, err := json.MarshalIndent(r, "", " ")
		if err != nil {
			return err
		}
		p.JSON = string(text)
		pages = append(pages, p)
	}
	return reportPage.Execute(w, pages)
}

// drawCurves draws curves over the seconds of a drill, with its faults as bands.
func drawCurves(r *Result, label string, curves map[string]func(i int) float64, order []string) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "time, s", label
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, false
	top := 1.0
	for _, name := range order {
		for i := range r.Seconds {
			top = max(top, curves[name](i))
		}
	}
	length := float64(len(r.Seconds))
	for _, f := range r.Faults {
		to := min(max(f.To, f.From+0.1), length)
		band, err := plotter.NewPolygon(plotter.XYs{{X: f.From, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: f.From, Y: top}})
		if err != nil {
			return "", err
		}
		band.Color, band.Width = color.NRGBA{R: 200, G: 60, B: 60, A: 40}, 0
		p.Add(band)
	}
	for i, name := range order {
		var xy plotter.XYs
		for k := range r.Seconds {
			xy = append(xy, plotter.XY{X: float64(k) + 0.5, Y: curves[name](k)})
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	c, err := p.WriterTo(22*vg.Centimeter, 7*vg.Centimeter, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	_, svg, ok := bytes.Cut(b.Bytes(), []byte("<svg"))
	if !ok {
		return "", fmt.Errorf("plot %q: the output has no <svg", label)
	}
	return template.HTML("<svg" + string(svg)), nil
}

var reportPage = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Drills</title>
<style>body{font:15px sans-serif;margin:2em;max-width:60em}
table{border-collapse:collapse}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}.bad{color:#b00}pre{white-space:pre-wrap;font-size:12px}</style></head><body>
{{range .}}<h1>{{.Scenario}}, seed {{.Seed}}</h1>
<p>{{.Asked}} requests, served worth {{printf "%.4f" .Share}}, attempts a request {{printf "%.3f" .PerRequest}}.
{{if .ViolationCount}}<b class="bad">{{.ViolationCount}} rules broken or processes lost.</b>{{else}}The rules held.{{end}}</p>
{{range .Violations}}<p class="bad">{{.}}</p>{{end}}
{{range .Plots}}{{.}}{{end}}
<p>{{range .Faults}}{{.Kind}} from {{printf "%.1f" .From}} s to {{printf "%.1f" .To}} s. {{end}}</p>
<table><tr><th>class</th><th>asked</th><th>in time</th><th>late</th><th>refused</th><th>failed</th><th>left</th></tr>
{{range .Classes}}<tr><td>{{.Name}}</td><td>{{.Asked}}</td><td>{{.InTime}}</td><td>{{.Late}}</td>
<td>{{.Refused}}</td><td>{{.Failed}}</td><td>{{.GaveUp}}</td></tr>{{end}}</table>
<table><tr><th>sidecar</th><th>asked</th><th>served</th><th>refused</th><th>failed or left</th></tr>
{{range .Sidecars}}<tr><td>{{.Copy}}</td><td>{{.Asked}}</td><td>{{.Served}}</td>
<td>{{.Refused}}</td><td>{{.Failed}}</td></tr>{{end}}</table>
<details><summary>figures</summary><pre>{{.JSON}}</pre></details>
{{end}}</body></html>
`))
