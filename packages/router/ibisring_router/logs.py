"""Structured logging; lines are written only when some state changes."""

__all__ = ['JsonFormatter', 'configure', 'event']

import logging

import msgspec


class JsonFormatter(logging.Formatter):
    """Formats each record as one line of JSON, with the event's facts."""

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
    """Log a change of state and the facts about it."""
    logger.info(name, extra={'facts': facts})
