"""Frames between an entry and the owner of its cell."""

import pathlib

import thriftpy2
from thriftpy2 import utils
from thriftpy2.protocol import cybin

_PATH = pathlib.Path(__file__).with_name("cell.thrift")
_factory = cybin.TCyBinaryProtocolFactory()

cell = thriftpy2.load(str(_PATH), module_name="cell_thrift")

AdviceCall = cell.AdviceCall
AdviceNews = cell.AdviceNews
AdviceReport = cell.AdviceReport
Cancellation = cell.Cancellation
Frame = cell.Frame
Greeting = cell.Greeting
JobReport = cell.JobReport
OwnerQuestion = cell.OwnerQuestion
OwnerReport = cell.OwnerReport
PastAdvice = cell.PastAdvice
PeerInfo = cell.PeerInfo
Pulse = cell.Pulse
Query = cell.Query
Status = cell.Status
Submission = cell.Submission

MESSAGE_FIELDS = (
    "greeting",
    "status",
    "pulse",
    "submission",
    "query",
    "cancellation",
    "job_report",
    "advice_call",
    "advice_report",
    "advice_news",
    "owner_question",
    "owner_report",
)


def encode(frame: Frame) -> bytes:
    """Returns the serialized form of a frame."""
    return utils.serialize(frame, _factory)


def decode(data: bytes) -> Frame:
    """Returns the frame in serialized form.

    Raises:
        Exception: The data is not a frame. The errors of the thrift library
            have no common base class.
    """
    return utils.deserialize(Frame(), data, _factory)


def get_message(frame: Frame) -> tuple[str, object]:
    """Returns the field name and the message of a frame.

    Raises:
        ValueError: The frame holds no message.
    """
    for field in MESSAGE_FIELDS:
        message = getattr(frame, field)
        if message is not None:
            return field, message
    raise ValueError("frame holds no message; exactly one field must be set")
