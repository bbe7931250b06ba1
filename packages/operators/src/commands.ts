import { readFileSync, writeFileSync } from 'node:fs';
import { createInterface } from 'node:readline/promises';
import {
  describeFault,
  DocumentError,
  LogUnavailableError,
  MonsoonreachError,
  parseConfiguration,
  pause,
  systemClock,
} from '@monsoonreach/core';
import { HttpLog } from '@monsoonreach/log';
import { Command, Option } from 'clipanion';
import { describeDifference, diffDocuments } from './documentDiff.js';
import { writeDrain } from './drains.js';
import { describeSummary, summarise } from './fleetSummary.js';
import { readExplanations, readStatuses } from './nodeClient.js';
import { type OperatorSettings, parseOperatorSettings } from './operatorSettings.js';
import { PublicationRaceError, Publisher } from './publisher.js';
import { generateDeployment, parseAnswers, QUESTIONS } from './questionnaire.js';

/** Exit codes of the operators' client. */
export const CommandExit = { done: 0, failed: 1, invalid: 2, race: 3, lagging: 4, unreachable: 5 } as const;

const DEFAULT_SETTINGS = 'operator.ini';
const WATCH_INTERVAL_MS = 2_000;
const IN_FORCE_TIMEOUT_MS = 7_000;
const IN_FORCE_POLL_MS = 200;

/** Turns typed failures into a message and an exit code. */
abstract class OperatorCommand extends Command {
  async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      if (!(error instanceof MonsoonreachError)) throw error;
      this.context.stderr.write(`${error.message}\n`);
      if (error instanceof DocumentError) return CommandExit.invalid;
      if (error instanceof PublicationRaceError) return CommandExit.race;
      return error instanceof LogUnavailableError ? CommandExit.unreachable : CommandExit.failed;
    }
  }

  protected abstract run(): Promise<number>;

  protected print(lines: readonly string[]): void {
    for (const line of lines) this.context.stdout.write(`${line}\n`);
  }
}

/** A command that needs to know where the log and the nodes are. */
abstract class FleetCommand extends OperatorCommand {
  settings = Option.String('--settings', process.env['MONSOONREACH_SETTINGS'] ?? DEFAULT_SETTINGS, {
    description: 'the settings file; by default MONSOONREACH_SETTINGS or operator.ini',
  });

  protected readSettings(): OperatorSettings {
    return parseOperatorSettings(readFileSync(this.settings, 'utf8'));
  }

  protected async withPublisher<Result>(use: (publisher: Publisher) => Promise<Result>): Promise<Result> {
    const settings = this.readSettings();
    const log = new HttpLog(settings.platform.log);
    try {
      return await use(new Publisher({ log, clock: systemClock, operator: settings.operator.name }));
    } finally {
      await log.close();
    }
  }
}

/** `monsoonreach init`. */
export class InitCommand extends OperatorCommand {
  static override paths = [['init']];
  static override usage = Command.Usage({
    description: 'Answer the questionnaire and write a configuration.',
    details:
      'Asks the questions one by one, or reads the answers from a file. Prints the token of each workspace once.',
    examples: [
      ['Ask the questions', 'monsoonreach init --out deployment.ini'],
      [
        'Read the answers',
        'monsoonreach init --answers examples/skorstenslaug.answers.ini --out deployment.ini',
      ],
    ],
  });

  answers = Option.String('--answers', { description: 'a file with the answers' });
  out = Option.String('--out', 'deployment.ini', { description: 'where to write the configuration' });

  protected async run(): Promise<number> {
    const text = this.answers === undefined ? await this._ask() : readFileSync(this.answers, 'utf8');
    const { configuration, tokens } = generateDeployment(parseAnswers(text));
    writeFileSync(this.out, configuration, { flag: 'wx' });
    this.print([`wrote ${this.out}`]);
    this.print(Object.entries(tokens).map(([workspace, token]) => `token of ${workspace}: ${token}`));
    return CommandExit.done;
  }

  private async _ask(): Promise<string> {
    const terminal = createInterface({ input: process.stdin, output: process.stdout });
    const lines: string[] = [];
    for (const { key, prompt, fallback } of QUESTIONS) {
      const hint = fallback === undefined ? '' : ` [${fallback}]`;
      const answer = (await terminal.question(`${prompt}${hint} `)).trim();
      lines.push(`${key} = ${answer === '' ? (fallback ?? '') : answer}`);
    }
    terminal.close();
    return lines.join('\n');
  }
}

/** `monsoonreach check`. */
export class CheckCommand extends OperatorCommand {
  static override paths = [['check']];
  static override usage = Command.Usage({
    description: 'Check a configuration without publishing it.',
    details: 'Names the section, key and line of each fault, what was found and what is allowed.',
    examples: [['Check a file', 'monsoonreach check deployment.ini']],
  });

  file = Option.String({ name: 'file' });

  protected run(): Promise<number> {
    try {
      parseConfiguration(readFileSync(this.file, 'utf8'));
    } catch (error) {
      if (!(error instanceof DocumentError)) throw error;
      this.print(error.faults.map((fault) => `${this.file}: ${describeFault(fault)}`));
      return Promise.resolve(CommandExit.invalid);
    }
    this.print([`${this.file}: no faults`]);
    return Promise.resolve(CommandExit.done);
  }
}

/** `monsoonreach diff`. */
export class DiffCommand extends FleetCommand {
  static override paths = [['diff']];
  static override usage = Command.Usage({
    description: 'Show how a file differs from the configuration in the log.',
    examples: [['Compare', 'monsoonreach diff deployment.ini']],
  });

  file = Option.String({ name: 'file' });

  protected async run(): Promise<number> {
    const current = await this.withPublisher((publisher) => publisher.readCurrent());
    const differences = diffDocuments(current?.text ?? '', readFileSync(this.file, 'utf8'));
    this.print([`based on configuration ${current?.position ?? 0}`, ...differences.map(describeDifference)]);
    return CommandExit.done;
  }
}

/** `monsoonreach publish`. */
export class PublishCommand extends FleetCommand {
  static override paths = [['publish']];
  static override usage = Command.Usage({
    description: 'Publish a configuration and wait until it is in force everywhere.',
    details:
      'Rejected when another configuration was published since --basis (by default since the command began); the difference is shown. Exits with 4 and names the nodes when some do not report it in force within 7 s.',
    examples: [
      ['Publish', 'monsoonreach publish deployment.ini'],
      ['Publish only over what you have seen', 'monsoonreach publish deployment.ini --basis 4097'],
    ],
  });

  file = Option.String({ name: 'file' });
  basis = Option.String('--basis', {
    description: 'position of the configuration that the file is based on',
  });

  protected async run(): Promise<number> {
    const text = readFileSync(this.file, 'utf8');
    try {
      const position = await this.withPublisher((publisher) => this._publish(publisher, text));
      this.print([`accepted as configuration ${position}`]);
      return await this._waitUntilInForce(position);
    } catch (error) {
      if (!(error instanceof PublicationRaceError)) throw error;
      this.context.stderr.write(`${error.message}\n`);
      this.print(diffDocuments(error.current?.text ?? '', text).map(describeDifference));
      return CommandExit.race;
    }
  }

  private async _publish(publisher: Publisher, text: string): Promise<number> {
    const basis = this.basis === undefined ? (await publisher.readCurrent())?.position : Number(this.basis);
    return publisher.publish(text, basis ?? 0);
  }

  private async _waitUntilInForce(position: number): Promise<number> {
    const addresses = this.readSettings().nodes.operators;
    const endsAtMs = systemClock.monotonic() + IN_FORCE_TIMEOUT_MS;
    for (;;) {
      const answers = await readStatuses(addresses);
      const lagging = answers.filter(
        (answer) => answer.kind === 'silent' || answer.status.configuration < position,
      );
      if (lagging.length === 0) {
        this.print([`in force at all ${addresses.length} nodes`]);
        return CommandExit.done;
      }
      if (systemClock.monotonic() >= endsAtMs) {
        this.print(
          lagging.map(
            ({ address, kind }) => `not in force at ${address} (${kind === 'silent' ? 'silent' : 'behind'})`,
          ),
        );
        return CommandExit.lagging;
      }
      await pause(IN_FORCE_POLL_MS);
    }
  }
}

/** `monsoonreach status`. */
export class StatusCommand extends FleetCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    description: 'Show nodes, groups, stranded accelerators, leaving targets and refusals.',
    examples: [
      ['Once', 'monsoonreach status'],
      ['For a program', 'monsoonreach status --json'],
      ['Every two seconds', 'monsoonreach status --watch'],
    ],
  });

  json = Option.Boolean('--json', false, { description: 'one JSON document a line' });
  watch = Option.Boolean('--watch', false, { description: 'show it again every two seconds' });

  protected async run(): Promise<number> {
    const addresses = this.readSettings().nodes.operators;
    for (;;) {
      const summary = summarise(await readStatuses(addresses));
      this.print(this.json ? [JSON.stringify(summary)] : describeSummary(summary));
      if (!this.watch) return summary.nodes.length === 0 ? CommandExit.unreachable : CommandExit.done;
      await pause(WATCH_INTERVAL_MS);
    }
  }
}

/** `monsoonreach explain`. */
export class ExplainCommand extends FleetCommand {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Say why a request was routed or refused, or how a group stands.',
    examples: [
      [
        'A request, by the x-request-id of its answer',
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
    if (explanations.length > 0) return CommandExit.done;
    this.print([`No node remembers ${this.subject}; a request is remembered for a while only.`]);
    return CommandExit.failed;
  }
}

/** `monsoonreach drain`. */
export class DrainCommand extends FleetCommand {
  static override paths = [['drain']];
  static override usage = Command.Usage({
    description: 'Tell every node that a target is leaving, or with --undo that it stays.',
    examples: [
      ['Before maintenance', 'monsoonreach drain 10.0.3.17:8000'],
      ['After it', 'monsoonreach drain 10.0.3.17:8000 --undo'],
    ],
  });

  address = Option.String({ name: 'address' });
  undo = Option.Boolean('--undo', false, { description: 'the target stays' });

  protected async run(): Promise<number> {
    const settings = this.readSettings();
    const log = new HttpLog(settings.platform.log);
    try {
      await writeDrain(
        { log, clock: systemClock, operator: settings.operator.name },
        this.address,
        !this.undo,
      );
    } finally {
      await log.close();
    }
    this.print([`${this.address} ${this.undo ? 'stays' : 'is leaving'}`]);
    return CommandExit.done;
  }
}
