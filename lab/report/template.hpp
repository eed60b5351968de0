// The report's page, as a Mustache template.
#pragma once

namespace chalksail::lab {

inline constexpr const char* kReportTemplate = R"html(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{name}}</title><style>
body{font:14px/1.4 sans-serif;margin:2em auto;max-width:960px;color:#222}
table{border-collapse:collapse}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}svg{background:#fafafa}text{font:11px sans-serif;fill:#555}
.trouble{fill:#c60;fill-opacity:.08}.bad{color:#b00}polyline{fill:none;stroke-width:1.5}
</style></head><body>
<h1>{{name}}</h1>
<p>{{kind}} {{engines}} engines, {{edges}} edges, {{clients}} clients, {{length}}, seed {{seed}}.</p>
{{#broken}}<p class="bad">{{.}}</p>{{/broken}}{{^broken}}<p>The five rules were kept.</p>{{/broken}}
<table><tr><th>class</th><th>asked</th><th>served</th><th>in time</th><th>refused</th><th>failed</th><th>hung up</th><th>worth</th></tr>
{{#classes}}<tr><td>{{name}}</td><td>{{asked}}</td><td>{{served}}</td><td>{{in_time}}</td><td>{{refused}}</td><td>{{failed}}</td><td>{{gone}}</td><td>{{worth}}</td></tr>
{{/classes}}</table>
<p>First token: p50 {{p50}} ms, p90 {{p90}} ms, p99 {{p99}} ms. Attempts a request: {{attempts}}. Waste: {{waste}} of the attempts.</p>
{{#plots}}<h2>{{title}}</h2>
<svg width="{{width}}" height="{{height}}" role="img" aria-label="{{title}}">
{{#troubles}}<rect class="trouble" x="{{x}}" y="0" width="{{w}}" height="{{h}}"><title>{{text}}</title></rect>
{{/troubles}}{{#lines}}<polyline stroke="{{colour}}" points="{{points}}"><title>{{label}}</title></polyline>
<text x="{{label_x}}" y="12" style="fill:{{colour}}">{{label}}</text>
{{/lines}}<text x="2" y="12">{{most}}</text><text x="2" y="{{base}}">0</text><text x="{{end_x}}" y="{{base}}">{{end}} s</text>
</svg>
{{/plots}}
<h2>Troubles</h2>
<ul>{{#all_troubles}}<li><code>{{.}}</code></li>
{{/all_troubles}}</ul>
<h2>Engines</h2>
<table><tr><th>engine</th><th>attempts</th><th>done</th><th>turned away</th><th>errors</th><th>cut</th><th>left</th><th>attempts by second</th></tr>
{{#servers}}<tr><td>{{name}}</td><td>{{attempts}}</td><td>{{done}}</td><td>{{not_run}}</td><td>{{errors}}</td><td>{{cut}}</td><td>{{left}}</td>
<td><svg width="240" height="18"><polyline stroke="#357" points="{{points}}"/></svg></td></tr>
{{/servers}}</table>
</body></html>
)html";

}  // namespace chalksail::lab
