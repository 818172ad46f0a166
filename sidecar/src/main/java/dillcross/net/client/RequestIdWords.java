package dillcross.net.client;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.concurrent.atomic.AtomicLongArray;

/** The words of a {@link RequestIdTable}, which are read and written atomically. */
interface RequestIdWords {
  long get(int index);

  /** Sets a word if it is the expected one; returns whether it was. */
  boolean compareAndSet(int index, long expected, long word);

  /** Words that are all 0, in this process's heap. */
  static RequestIdWords onHeap(int count) {
    AtomicLongArray words = new AtomicLongArray(count);
    return new RequestIdWords() {
      @Override
      public long get(int index) {
        return words.get(index);
      }

      @Override
      public boolean compareAndSet(int index, long expected, long word) {
        return words.compareAndSet(index, expected, word);
      }
    };
  }

  /** Words in direct memory, which another process may map too. */
  static RequestIdWords in(ByteBuffer memory) {
    VarHandle words = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());
    return new RequestIdWords() {
      @Override
      public long get(int index) {
        return (long) words.getVolatile(memory, index * Long.BYTES);
      }

      @Override
      public boolean compareAndSet(int index, long expected, long word) {
        return words.compareAndSet(memory, index * Long.BYTES, expected, word);
      }
    };
  }
}
