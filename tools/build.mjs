// Bundles each program to one file under dist/ and prints the bundle sizes.
import { existsSync, statSync } from 'node:fs';
import { build } from 'esbuild';

const PROGRAMS = [
  ['hemlockway', 'src/cli/main.ts'],
  ['hemlockway-gate', 'src/gate/main.ts'],
  ['hemlockway-node', 'platform/main.ts'],
  ['hemlockway-scheduler', 'src/scheduler/main.ts'],
  ['standin-platform', 'standins/platformMain.ts'],
  ['standin-target', 'standins/targetMain.ts'],
  ['demo', 'demo/main.ts'],
  ['bench', 'bench/main.ts'],
  ['soak', 'bench/soak.ts'],
]
  .filter(([, entry]) => existsSync(entry))
  .filter(([name]) => !process.argv.includes('--platform') || name === 'hemlockway-node');

/** The platform's builds go elsewhere and need the programs that run there only. */
const outdir = process.argv.includes('--platform') ? 'target' : 'dist';
const isQuiet = process.argv.includes('--quiet');

await build({
  entryPoints: Object.fromEntries(PROGRAMS),
  outdir,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  external: ['dtrace-provider', 'mv', 'safe-json-stringify'],
  logLevel: 'warning',
});

if (!isQuiet) {
  for (const [name] of PROGRAMS) {
    const sizeKb = Math.round(statSync(`${outdir}/${name}.js`).size / 1024);
    console.log(`${name.padEnd(22)} ${String(sizeKb).padStart(6)} KB`);
  }
}
