import { EngineStandin } from './engineStandin.js';
import { startLiveList } from './liveListStandin.js';
import { LogStandin } from './logStandin.js';
import { startService } from './serviceStandin.js';

/** Runs a stand-in as a process: `node main.js <kind> <options as JSON>`. */
const [, , kind = '', text = '{}'] = process.argv;
const options = JSON.parse(text) as { readonly port: number };

switch (kind) {
  case 'log':
    await LogStandin.start(options);
    break;
  case 'live-list':
    await startLiveList(options.port);
    break;
  case 'engine':
    await new EngineStandin(options).start();
    break;
  case 'service':
    await startService(options);
    break;
  default:
    process.stderr.write('Usage: main.js log|live-list|engine|service <options as JSON>\n');
    process.exit(2);
}
