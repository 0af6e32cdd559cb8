/**
 * The style sheet of the burn page.
 *
 * @module
 */

/** Supports light and dark mode and narrow screens. */
export const PAGE_STYLE = `
:root {
  color-scheme: light dark;
  --page: #fbfbfa;
  --card: #ffffff;
  --ink: #1c1e21;
  --muted: #5d636b;
  --line: #dcdfe3;
  --empty: #eceef0;
  --late: #d18a00;
  --refused: #2f74c0;
  --lost: #c2410c;
  --alert: #b3261e;
  --alert-back: #fdeceb;
  --warning: #8a5a00;
  --warning-back: #fff4dc;
  --good: #1f7a3d;
}
@media (prefers-color-scheme: dark) {
  :root {
    --page: #15171a;
    --card: #1e2125;
    --ink: #e7e9ec;
    --muted: #a2a9b2;
    --line: #363b42;
    --empty: #2a2e33;
    --late: #f0b23e;
    --refused: #6cb0f5;
    --lost: #ff8555;
    --alert: #ff9d94;
    --alert-back: #3d1f1d;
    --warning: #f3c766;
    --warning-back: #37290f;
    --good: #7fd69a;
  }
}
* { box-sizing: border-box; }
body {
  margin: 0 auto;
  padding: 1.25rem 1rem 3rem;
  max-width: 84rem;
  background: var(--page);
  color: var(--ink);
  font: 16px/1.5 system-ui, sans-serif;
  overflow-wrap: break-word;
}
h1 { font-size: 1.5rem; margin: 0 0 .25rem; }
h2 { font-size: 1.15rem; margin: 2rem 0 .5rem; }
h3 { font-size: 1rem; margin: 0 0 .25rem; }
p { margin: .25rem 0; }
.faint { color: var(--muted); font-size: .9rem; }
.note {
  margin: .5rem 0;
  padding: .5rem .75rem;
  border-left: 4px solid var(--line);
  background: var(--card);
}
.note.alert { border-color: var(--alert); background: var(--alert-back); }
.note.warning { border-color: var(--warning); background: var(--warning-back); }
.note.good { border-color: var(--good); }
.cards {
  display: grid;
  grid-template-columns: repeat(auto-fill, minmax(min(100%, 24rem), 1fr));
  gap: .75rem;
}
.pairs {
  display: grid;
  grid-template-columns: repeat(auto-fill, minmax(min(100%, 36rem), 1fr));
  gap: .75rem 1.5rem;
}
.pair {
  display: grid;
  grid-template-columns: repeat(auto-fit, minmax(min(100%, 17rem), 1fr));
  gap: .75rem;
  min-width: 0;
}
.card {
  min-width: 0;
  padding: .75rem;
  border: 1px solid var(--line);
  border-radius: .5rem;
  background: var(--card);
}
.card svg { display: block; width: 100%; height: auto; max-width: 36rem; }
.legend { display: flex; flex-wrap: wrap; gap: .25rem 1rem; padding: 0; }
.legend li { list-style: none; }
.legend li::before {
  content: "";
  display: inline-block;
  width: .8rem;
  height: .8rem;
  margin-right: .4rem;
  border-radius: 2px;
  background: var(--swatch);
}
.late { --swatch: var(--late); }
.refused { --swatch: var(--refused); }
.lost { --swatch: var(--lost); }
.empty { --swatch: var(--empty); }
.scroll { overflow-x: auto; }
table {
  width: 100%;
  border-collapse: collapse;
  background: var(--card);
  font-size: .9rem;
}
th, td {
  padding: .35rem .5rem;
  border-bottom: 1px solid var(--line);
  text-align: left;
  vertical-align: top;
}
th { color: var(--muted); font-size: .85rem; font-weight: 600; }
td.number, th.number { text-align: right; }
td.number {
  white-space: nowrap;
  font-variant-numeric: tabular-nums;
}
td.alert { color: var(--alert); font-weight: 700; }
td.warning { color: var(--warning); font-weight: 700; }
td code { overflow-wrap: anywhere; }
code { font: .85em ui-monospace, "DejaVu Sans Mono", monospace; }
@media (max-width: 60rem) {
  thead { display: none; }
  table, tbody { display: block; background: none; font-size: 1rem; }
  tr {
    display: block;
    margin: 0 0 .75rem;
    padding: .25rem .75rem;
    border: 1px solid var(--line);
    border-radius: .5rem;
    background: var(--card);
  }
  td, td.number {
    display: flex;
    justify-content: space-between;
    gap: 1rem;
    padding: .25rem 0;
    text-align: right;
    white-space: normal;
    overflow-wrap: anywhere;
  }
  td:last-child { border-bottom: 0; }
  td::before {
    content: attr(data-label);
    flex: none;
    color: var(--muted);
    text-align: left;
    font-weight: 400;
  }
}
`;
