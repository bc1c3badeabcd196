"""Structured log lines, written for changes of state only."""

__all__ = ['JsonFormatter', 'configure', 'event']

import logging

import msgspec


class JsonFormatter(logging.Formatter):
    """One JSON object a line, with the facts of the event."""

    def format(self, record):
        line = {
            'time': round(record.created, 3),
            'level': record.levelname.lower(),
            'module': record.name,
            'event': record.getMessage(),
        }
        line.update(getattr(record, 'facts', {}))
        if record.exc_info:
            line['trace'] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def configure(level='INFO'):
    """Write JSON lines to standard error."""
    handler = logging.StreamHandler()
    handler.setFormatter(JsonFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger('urllib3').setLevel(logging.ERROR)


def event(logger, name, **facts):
    """Log a change of state with its facts."""
    logger.info(name, extra={'facts': facts})
