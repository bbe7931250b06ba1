/** Stand-in of a requester: one kept connection, one request at a time. */
import { Agent, request } from 'node:http';

export class Caller {
  _agent = new Agent({ keepAlive: true, maxSockets: 1 });

  constructor({ port, host }) {
    Object.assign(this, { port, host });
  }

  /** Sends a request; resolves to its status, or to the code of the error that ended it. */
  send({ path, method = 'POST', id, key, deadlineMs }) {
    return new Promise((resolve) => {
      const outgoing = request(
        {
          host: '127.0.0.1',
          port: this.port,
          path,
          method,
          agent: this._agent,
          headers: {
            Host: this.host,
            'Attempt-Id': id,
            'Deadline-Ms': String(deadlineMs),
            ...(key === undefined ? {} : { Authorization: `Bearer ${key}` }),
          },
        },
        (answer) => {
          const chunks = [];
          answer.on('data', (chunk) => chunks.push(chunk));
          answer.on('error', (error) => {
            resolve({ outcome: error.code });
          });
          answer.on('end', () => {
            resolve({
              outcome: answer.statusCode,
              seal: answer.headers['server-seal'],
              body: Buffer.concat(chunks).toString(),
            });
          });
        },
      );
      outgoing.setTimeout(deadlineMs, () => outgoing.destroy(new Error('deadline')));
      outgoing.on('error', (error) => {
        resolve({ outcome: error.code ?? error.message });
      });
      outgoing.end();
    });
  }

  stop() {
    this._agent.destroy();
  }
}
