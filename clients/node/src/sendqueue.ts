// The messages of one connection that have not been written. A message is encoded and handed to the socket only once
// the operating system has taken everything before it, so that one whose caller has left meanwhile is never sent.

import type { Socket } from "node:net";

/** A message to be sent. */
export interface Outgoing {
  /** Returns the message as it is sent now. */
  encode(): unknown;
}

/** How far a message has got: nothing of it, some of it, or all of it has been written. */
export type SendState = "unsent" | "begun" | "sent";

/** How long the rest of a half-written message may take once its caller has left, in ms. */
export const restTimeoutMs = 100;

export class SendQueue {
  private waiting: Outgoing[] = [];
  private inProgress: Outgoing | undefined;

  constructor(private readonly socket: Socket) {}

  /** Sends a message when all before it have been written. */
  add(message: Outgoing): void {
    this.waiting.push(message);
    this.flush();
  }

  /** Returns how far a message has got that was added. */
  state(message: Outgoing): SendState {
    if (this.waiting.includes(message)) return "unsent";
    return message === this.inProgress ? "begun" : "sent";
  }

  /** Has a message not sent any more if it is unsent, and returns how far it has got. */
  withdraw(message: Outgoing): SendState {
    const state = this.state(message);
    if (state === "unsent") this.waiting.splice(this.waiting.indexOf(message), 1);
    return state;
  }

  /** Closes the connection unless the rest of a half-written message is written soon. */
  closeUnlessWritten(message: Outgoing): void {
    setTimeout(() => {
      if (message === this.inProgress) this.socket.destroy(new Error("the front end does not read"));
    }, restTimeoutMs).unref();
  }

  private flush(): void {
    while (!this.inProgress && !this.socket.destroyed) {
      const message = this.waiting.shift();
      if (!message) return;
      this.write(message);
    }
  }

  private write(message: Outgoing): void {
    this.inProgress = message;
    this.socket.write(JSON.stringify(message.encode()) + "\n", () => this.written(message));
    if (this.socket.writableLength === 0) this.inProgress = undefined; // the operating system took it at once
  }

  private written(message: Outgoing): void {
    if (message !== this.inProgress) return;
    this.inProgress = undefined;
    this.flush();
  }
}
