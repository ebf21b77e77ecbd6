#pragma once

#include <unistd.h>

#include <utility>

namespace Papaya {

/// Owns a file descriptor and closes it in the destructor. Movable, not copyable.
class FileDescriptor
{
public:
    FileDescriptor() = default;
    explicit FileDescriptor(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    FileDescriptor(FileDescriptor &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    FileDescriptor &operator=(FileDescriptor &&other) noexcept
    {
        if (this != &other) {
            reset();
            m_descriptor = std::exchange(other.m_descriptor, -1);
        }
        return *this;
    }
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;
    ~FileDescriptor() { reset(); }

    [[nodiscard]] int get() const { return m_descriptor; }
    [[nodiscard]] bool isOpen() const { return m_descriptor >= 0; }

    /// Closes the descriptor if it is open.
    void reset()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
    }

private:
    int m_descriptor = -1;
};

} // namespace Papaya
