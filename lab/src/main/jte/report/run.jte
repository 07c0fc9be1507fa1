@import postgrade.lab.report.Report
@param Report.Page page
<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>${page.title}</title>
<style>
  body { font: 15px/1.5 system-ui, sans-serif; color: #222; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; }
  h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2rem; border-bottom: 1px solid #ddd; }
  table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
  th, td { padding: .25rem .5rem; text-align: right; border-bottom: 1px solid #eee; }
  th:first-child, td:first-child { text-align: left; }
  svg { max-width: 100%; height: auto; }
  .verdict { padding: .5rem 1rem; border-left: .4rem solid #009e73; background: #eef7f3; }
  .broken { border-color: #d55e00; background: #fdf0e8; }
  .caption { color: #666; font-size: .9rem; }
  @media print { body { margin: 0; max-width: none; } h2 { break-after: avoid; } figure, table { break-inside: avoid; } }
</style>
</head>
<body>
<h1>${page.title}</h1>
<p class="caption">made ${page.made}</p>
<ul>
@for(String fact : page.facts)
  <li>${fact}</li>
@endfor
</ul>
@if(page.judged)
  @if(page.clean)
  <p class="verdict">No rule is broken.</p>
  @else
  <p class="verdict broken">Rules are broken.</p>
  @endif
<h2>Rules</h2>
<table><tr><th>rule</th><th>breaches</th></tr>
@for(Report.TableRow row : page.rules)
  <tr><td>${row.name()}</td>@for(String cell : row.cells())<td>${cell}</td>@endfor</tr>
@endfor
</table>
  @if(!page.breaches.isEmpty())
<ul>
    @for(String breach : page.breaches)
  <li>${breach}</li>
    @endfor
</ul>
  @endif
@endif
@if(!page.compared.isEmpty())
<h2>Side by side</h2>
<table><tr><th></th>@for(String c : page.comparedColumns)<th>${c}</th>@endfor</tr>
@for(Report.TableRow row : page.compared)
  <tr><td>${row.name()}</td>@for(String cell : row.cells())<td>${cell}</td>@endfor</tr>
@endfor
</table>
@endif
@for(Report.Figure figure : page.figures)
  @if(!figure.svg().isEmpty())
<h2>${figure.title()}</h2>
<figure>$unsafe{figure.svg()}
<figcaption class="caption">${figure.caption()}</figcaption></figure>
  @endif
@endfor
@if(!page.byClass.isEmpty())
<h2>By class</h2>
<table><tr><th>class</th>@for(String c : page.endColumns)<th>${c}</th>@endfor<th>all</th><th>served</th></tr>
@for(Report.TableRow row : page.byClass)
  <tr><td>${row.name()}</td>@for(String cell : row.cells())<td>${cell}</td>@endfor</tr>
@endfor
</table>
<h2>By tenant</h2>
<table><tr><th>tenant</th>@for(String c : page.endColumns)<th>${c}</th>@endfor<th>all</th><th>served</th></tr>
@for(Report.TableRow row : page.byTenant)
  <tr><td>${row.name()}</td>@for(String cell : row.cells())<td>${cell}</td>@endfor</tr>
@endfor
</table>
<h2>Latency in ms</h2>
<table><tr><th>class</th><th>p50</th><th>p90</th><th>p95</th><th>p99</th><th>p99.9</th><th>most</th></tr>
@for(Report.TableRow row : page.latency)
  <tr><td>${row.name()}</td>@for(String cell : row.cells())<td>${cell}</td>@endfor</tr>
@endfor
</table>
@endif
</body>
</html>
