// Fails when shipped source imports a module that starts processes, threads or clusters, writes to the file
// system, or when the product imports the platform adapter or uses its wire names.
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

const FORBIDDEN_MODULE = /from '(node:)?(child_process|cluster|worker_threads|dgram-cluster)'/;
const FILE_WRITE =
  /\b(writeFile|appendFile|createWriteStream|mkdir|rename|unlink|rmdir|openSync)\w*\(/;
const ADAPTER_IMPORT = /from '(\.\.\/)+platform\/(?!types|httpPlatform)/;
const WIRE_NAME =
  /run-start|run-stop|rows-tx|rows-get|rows-feed|last-seen|machine-upkeep|clock-ms|decide-ms/;

const listSources = (directory) =>
  readdirSync(directory, { recursive: true })
    .filter((name) => name.endsWith('.ts'))
    .map((name) => join(directory, name));

const product = listSources('src');
const adapter = listSources('platform');
const offenders = [...product, ...adapter].filter((file) => {
  const text = readFileSync(file, 'utf8');
  return FORBIDDEN_MODULE.test(text) || FILE_WRITE.test(text);
});
const layeringViolations = product.filter((file) => {
  const text = readFileSync(file, 'utf8');
  return ADAPTER_IMPORT.test(text) || WIRE_NAME.test(text);
});
offenders.forEach((file) => console.error(`forbidden import or file write: ${file}`));
layeringViolations.forEach((file) =>
  console.error(`platform adapter import or platform wire name outside platform/: ${file}`),
);
if (offenders.length + layeringViolations.length > 0) process.exit(1);
const lineCount = adapter.reduce(
  (sum, file) => sum + readFileSync(file, 'utf8').split('\n').length - 1,
  0,
);
console.log(`imports checked: ${product.length} files; platform/ has ${lineCount} lines`);
