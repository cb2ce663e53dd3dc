/** `npm run bench -- plot`: renders the main figures as SVG files in docs/plots. */

import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parse, View } from 'vega';
import { compile } from 'vega-lite';
import type { TopLevelSpec } from 'vega-lite';
import { capacity } from './capacity';
import { decision } from './decision';
import type { Benchmark, Figure } from './types';

const OUTPUT_DIRECTORY = 'docs/plots';
const WIDTH_PX = 480;
const HEIGHT_PX = 280;

/** One bar of a plot. */
interface Bar {
  readonly label: string;
  readonly series: string;
  readonly value: number;
}

/** One SVG file and its data. */
interface Plot {
  readonly file: string;
  readonly title: string;
  readonly unit: string;
  readonly bars: readonly Bar[];
}

function createSpec({ title, unit, bars }: Plot): TopLevelSpec {
  return {
    width: WIDTH_PX,
    height: HEIGHT_PX,
    title,
    data: { values: [...bars] },
    mark: 'bar',
    encoding: {
      x: { field: 'label', type: 'nominal', sort: null, title: null, axis: { labelAngle: -30 } },
      xOffset: { field: 'series', sort: null },
      y: { field: 'value', type: 'quantitative', title: unit },
      color: { field: 'series', type: 'nominal', sort: null, title: null },
    },
  };
}

async function renderPlot(plot: Plot): Promise<void> {
  const view = new View(parse(compile(createSpec(plot)).spec), { renderer: 'none' });
  writeFileSync(join(OUTPUT_DIRECTORY, plot.file), `${await view.toSVG()}\n`);
}

/** Converts a figure such as `task, 30 targets, p99` to a bar of the series `task`. */
function toDecisionBar({ name, value }: Figure): Bar {
  const [series = '', label = ''] = name.split(', ');
  return { label, series, value };
}

function toTrafficBar({ name, value }: Figure): Bar {
  const parts = name.split(', ');
  const series = parts.at(-1) ?? '';
  return { label: parts.slice(0, -1).join(', '), series, value };
}

async function createPlots(): Promise<readonly Plot[]> {
  const trafficFigures = await capacity.run();
  const decisionFigures = await decision.run();
  return [
    {
      file: 'control-bytes.svg',
      title: 'JSON of an idle scheduler by size',
      unit: 'KB/s',
      bars: trafficFigures.filter((figure) => figure.name.includes('JSON')).map(toTrafficBar),
    },
    {
      file: 'decision.svg',
      title: 'Time of one decision, p99',
      unit: 'us',
      bars: decisionFigures.filter((figure) => figure.name.endsWith('p99')).map(toDecisionBar),
    },
  ];
}

/** The `plot` command. */
export const plot: Benchmark = {
  name: 'plot',
  description: 'renders the main figures as SVG files in docs/plots',
  async run() {
    mkdirSync(OUTPUT_DIRECTORY, { recursive: true });
    const plots = await createPlots();
    await Promise.all(plots.map(renderPlot));
    return plots.map(({ file, bars }) => ({ name: file, value: bars.length, unit: 'bars' }));
  },
};
