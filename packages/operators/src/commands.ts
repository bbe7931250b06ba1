import { readFileSync, writeFileSync } from 'node:fs';
import { createInterface } from 'node:readline/promises';
import {
  DocumentError,
  LogUnavailableError,
  MonsoonreachError,
  pause,
  systemClock,
} from '@monsoonreach/core';
import { HttpLog } from '@monsoonreach/log';
import { Command, Option } from 'clipanion';
import { checkDocument, describeFinding, type DocumentCheck, type NamedText } from './documentCheck.js';
import { describeDifference, diffDocuments } from './documentDiff.js';
import { appendDrain } from './appendDrain.js';
import { describeSummary, summariseFleet } from './fleetSummary.js';
import { readExplanations, readStatuses } from './nodeClient.js';
import { type OperatorSettings, parseOperatorSettings } from './operatorSettings.js';
import { PublicationRaceError, Publisher } from './publisher.js';
import { generateDeployment, parseAnswers, QUESTIONS } from './questionnaire.js';

/** Exit codes of the `monsoonreach` command line. */
export const ExitCode = {
  done: 0,
  failed: 1,
  invalid: 2,
  race: 3,
  lagging: 4,
  unreachable: 5,
  warned: 6,
} as const;

const DEFAULT_SETTINGS_FILE = 'operator.ini';
const WATCH_INTERVAL_MS = 2_000;
const APPLY_TIMEOUT_MS = 7_000;
const APPLY_POLL_INTERVAL_MS = 200;

/** Prints a MonsoonreachError to stderr and maps it to an exit code; other errors propagate. */
abstract class OperatorCommand extends Command {
  async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      if (!(error instanceof MonsoonreachError)) throw error;
      this.context.stderr.write(`${error.message}\n`);
      if (error instanceof DocumentError) return ExitCode.invalid;
      if (error instanceof PublicationRaceError) return ExitCode.race;
      return error instanceof LogUnavailableError ? ExitCode.unreachable : ExitCode.failed;
    }
  }

  protected abstract run(): Promise<number>;

  protected print(lines: readonly string[]): void {
    for (const line of lines) this.context.stdout.write(`${line}\n`);
  }
}

/** A command that connects to the log and the nodes listed in the settings file. */
abstract class FleetCommand extends OperatorCommand {
  settings = Option.String('--settings', process.env['MONSOONREACH_SETTINGS'] ?? DEFAULT_SETTINGS_FILE, {
    description: 'settings file; defaults to $MONSOONREACH_SETTINGS, then operator.ini',
  });

  protected readSettings(): OperatorSettings {
    return parseOperatorSettings(readFileSync(this.settings, 'utf8'));
  }

  protected async withPublisher<Result>(
    callback: (publisher: Publisher) => Promise<Result>,
  ): Promise<Result> {
    const settings = this.readSettings();
    const log = new HttpLog(settings.platform.log);
    try {
      return await callback(new Publisher({ log, clock: systemClock, operator: settings.operator.name }));
    } finally {
      await log.close();
    }
  }
}

/** `monsoonreach init`: generates a configuration from the questionnaire. */
export class InitCommand extends OperatorCommand {
  static override paths = [['init']];
  static override usage = Command.Usage({
    description: 'Generate a configuration from a questionnaire.',
    details:
      'Asks the questions one by one, or reads the answers from a file. Prints the token of each workspace; the configuration stores only its hash, so the token cannot be shown again.',
    examples: [
      ['Answer interactively', 'monsoonreach init --out deployment.ini'],
      [
        'Read the answers from a file',
        'monsoonreach init --answers examples/skorstenslaug.answers.ini --out deployment.ini',
      ],
    ],
  });

  answers = Option.String('--answers', { description: 'read the answers from this file instead of asking' });
  out = Option.String('--out', 'deployment.ini', {
    description: 'file to write the configuration to; must not exist yet',
  });

  protected async run(): Promise<number> {
    const text = this.answers === undefined ? await this._ask() : readFileSync(this.answers, 'utf8');
    const { configuration, tokens } = generateDeployment(parseAnswers(text));
    writeFileSync(this.out, configuration, { flag: 'wx' });
    this.print([`wrote ${this.out}`]);
    this.print(Object.entries(tokens).map(([workspace, token]) => `token of ${workspace}: ${token}`));
    return ExitCode.done;
  }

  private async _ask(): Promise<string> {
    const terminal = createInterface({ input: process.stdin, output: process.stdout });
    const lines: string[] = [];
    for (const { key, prompt, defaultAnswer } of QUESTIONS) {
      const hint = defaultAnswer === undefined ? '' : ` [${defaultAnswer}]`;
      const answer = (await terminal.question(`${prompt}${hint} `)).trim();
      lines.push(`${key} = ${answer === '' ? (defaultAnswer ?? '') : answer}`);
    }
    terminal.close();
    return lines.join('\n');
  }
}

/** `monsoonreach check`: validates a configuration file. */
export class CheckCommand extends OperatorCommand {
  static override paths = [['check']];
  static override usage = Command.Usage({
    description: 'Check a configuration without publishing it.',
    details:
      'Checks the configuration of a deployment (INI) or of the serving nodes (JSON). Reports each error with its place, and for the serving nodes also entries that never match and limits that contradict each other. Exits with 2 after an error, and with 6 after warnings only.',
    examples: [
      ['Check a file', 'monsoonreach check deployment.ini'],
      [
        'Check a serving configuration and show what it changes',
        'monsoonreach check serving.json --in-force current.json',
      ],
      ['As JSON, for scripts', 'monsoonreach check serving.json --json'],
    ],
  });

  file = Option.String({ name: 'file' });
  inForce = Option.String('--in-force', {
    description: 'configuration in force; prints what the file changes',
  });
  json = Option.Boolean('--json', false, { description: 'print one JSON document' });

  protected run(): Promise<number> {
    const inForce = this.inForce === undefined ? undefined : readNamedText(this.inForce);
    const check = checkDocument(readNamedText(this.file), inForce);
    const { findings, differences = [] } = check;
    if (this.json) this.print([JSON.stringify(check)]);
    else
      this.print([
        ...findings.map(describeFinding),
        ...(findings.length === 0 ? [`${this.file}: no errors`] : []),
        ...differences.map(describeDifference),
      ]);
    return Promise.resolve(toExitCode(check));
  }
}

function readNamedText(file: string): NamedText {
  try {
    return { file, text: readFileSync(file, 'utf8') };
  } catch (error) {
    throw new UnreadableFileError(`${file} cannot be read: ${String(error)}`, { cause: error });
  }
}

/** A file named on the command line cannot be read. */
class UnreadableFileError extends MonsoonreachError {
  readonly code = 'file';
}

function toExitCode({ findings }: DocumentCheck): number {
  if (findings.some(({ severity }) => severity === 'error')) return ExitCode.invalid;
  return findings.length === 0 ? ExitCode.done : ExitCode.warned;
}

/** `monsoonreach diff`: compares a file with the published configuration. */
export class DiffCommand extends FleetCommand {
  static override paths = [['diff']];
  static override usage = Command.Usage({
    description: 'Compare a file with the published configuration.',
    examples: [['Compare', 'monsoonreach diff deployment.ini']],
  });

  file = Option.String({ name: 'file' });

  protected async run(): Promise<number> {
    const current = await this.withPublisher((publisher) => publisher.readCurrent());
    const differences = diffDocuments(current?.text ?? '', readFileSync(this.file, 'utf8'));
    this.print([
      `compared with configuration ${current?.position ?? 0}`,
      ...differences.map(describeDifference),
    ]);
    return ExitCode.done;
  }
}

/** `monsoonreach publish`: publishes a file and waits until every node has applied it. */
export class PublishCommand extends FleetCommand {
  static override paths = [['publish']];
  static override usage = Command.Usage({
    description: 'Publish a configuration and wait until every node has applied it.',
    details:
      'Rejected with exit code 3 if another configuration was published since --basis (default: since the command started); the differences are printed. Exits with 4 and lists the nodes that have not applied the configuration within 7 s.',
    examples: [
      ['Publish', 'monsoonreach publish deployment.ini'],
      [
        'Publish only if configuration 4097 is still the current one',
        'monsoonreach publish deployment.ini --basis 4097',
      ],
    ],
  });

  file = Option.String({ name: 'file' });
  basis = Option.String('--basis', {
    description: 'position of the published configuration that the file is based on',
  });

  protected async run(): Promise<number> {
    const text = readFileSync(this.file, 'utf8');
    try {
      const position = await this.withPublisher((publisher) => this._publish(publisher, text));
      this.print([`accepted as configuration ${position}`]);
      return await this._waitUntilApplied(position);
    } catch (error) {
      if (!(error instanceof PublicationRaceError)) throw error;
      this.context.stderr.write(`${error.message}\n`);
      this.print(diffDocuments(error.current?.text ?? '', text).map(describeDifference));
      return ExitCode.race;
    }
  }

  private async _publish(publisher: Publisher, text: string): Promise<number> {
    const basis = this.basis === undefined ? (await publisher.readCurrent())?.position : Number(this.basis);
    return publisher.publish(text, basis ?? 0);
  }

  private async _waitUntilApplied(position: number): Promise<number> {
    const addresses = this.readSettings().nodes.operators;
    const endsAtMs = systemClock.monotonic() + APPLY_TIMEOUT_MS;
    for (;;) {
      const results = await readStatuses(addresses);
      const lagging = results.filter(
        (result) => result.kind === 'silent' || result.status.configuration < position,
      );
      if (lagging.length === 0) {
        this.print([`applied by all ${addresses.length} nodes`]);
        return ExitCode.done;
      }
      if (systemClock.monotonic() >= endsAtMs) {
        this.print(
          lagging.map(
            ({ address, kind }) => `not applied by ${address} (${kind === 'silent' ? 'silent' : 'behind'})`,
          ),
        );
        return ExitCode.lagging;
      }
      await pause(APPLY_POLL_INTERVAL_MS);
    }
  }
}

/** `monsoonreach status`: prints a summary of all nodes. */
export class StatusCommand extends FleetCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    description: 'Show nodes, groups, stranded accelerators, leaving targets and refusals.',
    examples: [
      ['Once', 'monsoonreach status'],
      ['As JSON, for scripts', 'monsoonreach status --json'],
      ['Every two seconds', 'monsoonreach status --watch'],
    ],
  });

  json = Option.Boolean('--json', false, { description: 'print one JSON document per line' });
  watch = Option.Boolean('--watch', false, { description: 'repeat every two seconds' });

  protected async run(): Promise<number> {
    const addresses = this.readSettings().nodes.operators;
    for (;;) {
      const summary = summariseFleet(await readStatuses(addresses));
      this.print(this.json ? [JSON.stringify(summary)] : describeSummary(summary));
      if (!this.watch) return summary.nodes.length === 0 ? ExitCode.unreachable : ExitCode.done;
      await pause(WATCH_INTERVAL_MS);
    }
  }
}

/** `monsoonreach explain`: prints what the nodes recorded about a request or group. */
export class ExplainCommand extends FleetCommand {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Explain why a request was routed or refused, or show the state of a group.',
    examples: [
      [
        'A request, by the x-request-id of its response',
        'monsoonreach explain 019b1c3e-7a00-7000-8000-000000000000',
      ],
      ['A group', 'monsoonreach explain assistant-b3b2e3789534'],
    ],
  });

  subject = Option.String({ name: 'request id or group' });

  protected async run(): Promise<number> {
    const explanations = await readExplanations(this.readSettings().nodes.operators, this.subject);
    for (const { address, lines } of explanations)
      this.print([`${address}:`, ...lines.map((line) => `  ${line}`)]);
    if (explanations.length > 0) return ExitCode.done;
    this.print([
      `No node has a record of ${this.subject}; check the id. Nodes keep records of recent requests only.`,
    ]);
    return ExitCode.failed;
  }
}

/** `monsoonreach drain`: marks a target as leaving, or reverses it. */
export class DrainCommand extends FleetCommand {
  static override paths = [['drain']];
  static override usage = Command.Usage({
    description: 'Mark a target as leaving on every node; --undo reverses it.',
    examples: [
      ['Before maintenance', 'monsoonreach drain 10.0.3.17:8000'],
      ['After it', 'monsoonreach drain 10.0.3.17:8000 --undo'],
    ],
  });

  address = Option.String({ name: 'address' });
  undo = Option.Boolean('--undo', false, { description: 'return the target to service' });

  protected async run(): Promise<number> {
    const settings = this.readSettings();
    const log = new HttpLog(settings.platform.log);
    try {
      await appendDrain(
        { log, clock: systemClock, operator: settings.operator.name },
        this.address,
        !this.undo,
      );
    } finally {
      await log.close();
    }
    this.print([`${this.address} ${this.undo ? 'stays' : 'is leaving'}`]);
    return ExitCode.done;
  }
}
