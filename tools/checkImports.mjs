// Fails when shipped source starts a process, a thread or a cluster, writes to the file system, or when
// the platform's adapter and the product do not stay apart.
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

const FORBIDDEN_MODULE = /from '(node:)?(child_process|cluster|worker_threads|dgram-cluster)'/;
const FILE_WRITE =
  /\b(writeFile|appendFile|createWriteStream|mkdir|rename|unlink|rmdir|openSync)\w*\(/;
const ADAPTER_IMPORT = /from '(\.\.\/)+platform\/(?!types|httpPlatform)/;
const WIRE_NAME =
  /run-start|run-stop|rows-tx|rows-get|rows-feed|last-seen|machine-upkeep|clock-ms|decide-ms/;

const list = (folder) =>
  readdirSync(folder, { recursive: true })
    .filter((name) => name.endsWith('.ts'))
    .map((name) => join(folder, name));

const product = list('src');
const adapter = list('platform');
const offenders = [...product, ...adapter].filter((file) => {
  const text = readFileSync(file, 'utf8');
  return FORBIDDEN_MODULE.test(text) || FILE_WRITE.test(text);
});
const leaks = product.filter((file) => {
  const text = readFileSync(file, 'utf8');
  return ADAPTER_IMPORT.test(text) || WIRE_NAME.test(text);
});
offenders.forEach((file) => console.error(`forbidden import or file write: ${file}`));
leaks.forEach((file) => console.error(`the platform's names outside its adapter: ${file}`));
if (offenders.length + leaks.length > 0) process.exit(1);
const lineCount = adapter.reduce(
  (sum, file) => sum + readFileSync(file, 'utf8').split('\n').length - 1,
  0,
);
console.log(`imports checked: ${product.length} files; platform/ has ${lineCount} lines`);
